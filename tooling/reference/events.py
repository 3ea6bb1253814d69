"""Generates the reference page of the events."""

import dataclasses
import re
from pathlib import Path

import mangohatch
from mangohatch.timeline.event import Event, EventKind
from tooling.reference.base import Page, make_table

__all__ = ["EventPage"]

INTRODUCTION = """
# Events

Each entry host keeps its latest events in memory. `mangohatch events` and
`show events` collect them from all hosts and merge them in causal order; see
[the time line](../explanation/time-line.md).
"""
PACKAGE = Path(mangohatch.__path__[0])
USE_PATTERN = re.compile(r"EventKind\.([A-Z_]+)")
NOT_RECORDED = "not recorded yet"


class EventPage(Page):
    """Lists all kinds of events with the packages that record them."""

    name = "events"

    def body(self) -> str:
        packages_by_kind = find_recording_packages()
        kinds = (
            (
                f"`{kind}`",
                ", ".join(sorted(packages_by_kind.get(kind.name, ()))) or NOT_RECORDED,
            )
            for kind in EventKind
        )
        fields = (
            (f"`{field.name}`", getattr(field.type, "__name__", str(field.type)))
            for field in dataclasses.fields(Event)
        )
        return (
            INTRODUCTION
            + "\n## Kinds\n\n"
            + make_table(("Kind", "Recorded by"), kinds)
            + "\n## Fields\n\n"
            + make_table(("Field", "Type"), fields)
        )


def find_recording_packages() -> dict[str, set[str]]:
    """
    Find the packages that record each kind of event.

    The package ``timeline`` is left out: it defines and renders events.

    :return: packages by name of the event kind
    """
    packages_by_kind: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(PACKAGE).with_suffix("").parts
        if parts[0] == "timeline":
            continue
        for name in USE_PATTERN.findall(path.read_text(encoding="utf-8")):
            packages_by_kind.setdefault(name, set()).add(f"`{parts[0]}`")
    return packages_by_kind
