"""Differences between a configuration and the one in force."""

from collections.abc import Iterable, Iterator
from dataclasses import fields

from mangohatch.review.declared import (
    DeclaredAccount,
    DeclaredConfiguration,
    DeclaredRoute,
    DeclaredService,
)
from mangohatch.review.finding import Finding, Severity

__all__ = ["list_changes"]

Entry = DeclaredRoute | DeclaredService | DeclaredAccount
HIDDEN = frozenset({"digests"})  # a digest of a short key could be reversed


def list_changes(
    config: DeclaredConfiguration, in_force: DeclaredConfiguration
) -> list[Finding]:
    """
    List what a configuration changes.

    :param config: the configuration to be submitted
    :param in_force: the one in force
    :return: changes; an error if the version is not newer
    """
    return [
        *check_version(config, in_force),
        *compare("route", config.routes, in_force.routes),
        *compare("service", config.services, in_force.services),
        *compare("account", config.accounts, in_force.accounts),
    ]


def check_version(
    config: DeclaredConfiguration, in_force: DeclaredConfiguration
) -> Iterator[Finding]:
    """
    Check that a version is newer than the one in force.

    :param config: the configuration to be submitted
    :param in_force: the one in force
    :return: an error, if it is not
    """
    if config.version is None or in_force.version is None:
        return
    if config.version <= in_force.version:
        yield Finding(
            severity=Severity.ERROR,
            code="old_version",
            place="version",
            value=str(config.version),
            expected=f"more than {in_force.version}, which is in force",
        )


def compare(
    kind: str, entries: Iterable[Entry], known: Iterable[Entry]
) -> Iterator[Finding]:
    """
    Compare the entries of one type by their names.

    :param kind: the type
    :param entries: the entries to be submitted
    :param known: those in force
    :return: the changes
    """
    before = {entry.name: entry for entry in known}
    after = {entry.name: entry for entry in entries}
    for name, entry in after.items():
        if name not in before:
            yield change(f"{kind}_added", entry.place, repr(name), "not in force yet")
        else:
            yield from compare_fields(kind, entry, before[name])
    for name, entry in before.items():
        if name not in after:
            yield change(f"{kind}_removed", entry.place, repr(name), "still in force")


def compare_fields(kind: str, entry: Entry, known: Entry) -> Iterator[Finding]:
    """
    Compare the fields of an entry.

    :param kind: type of the entry
    :param entry: the entry to be submitted
    :param known: the one in force
    :return: a change for each field that differs
    """
    for item in fields(entry):
        new, old = getattr(entry, item.name), getattr(known, item.name)
        if item.name == "place" or new == old:
            continue
        place = f"{entry.place}.{item.name}"
        if item.name in HIDDEN:
            added, removed = len({*new} - {*old}), len({*old} - {*new})
            yield change(
                f"{kind}_changed", place, f"{added} added, {removed} removed", "as is"
            )
        else:
            yield change(f"{kind}_changed", place, str(new), str(old))


def change(code: str, place: str, value: str, in_force: str) -> Finding:
    """
    Make a finding about a change.

    :param code: identifies the kind of change
    :param place: the field within the document
    :param value: the new value
    :param in_force: the value in force
    :return: the finding
    """
    return Finding(
        severity=Severity.CHANGE,
        code=code,
        place=place,
        value=value,
        expected=f"{in_force} (in force)",
    )
