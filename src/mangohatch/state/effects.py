"""Application of configuration objects to the core tables, by kind."""

import json
from abc import ABC, abstractmethod

from mangohatch.core.tables import DrainCause, Tables, UpstreamRow
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.state.items import ConfigRejected, read_service
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder

__all__ = [
    "LEAVING_KIND",
    "ItemEffect",
    "LeavingEffect",
    "ServiceEffect",
    "leaving_mark_name",
]

LEAVING_KIND = "leaving"


class ItemEffect(ABC):
    """Applies the objects of one kind to the tables of the decision core."""

    @abstractmethod
    def apply_item(self, item: ConfigItem) -> None:
        """
        Apply an object that is newer than the previous one.

        :param item: the object or its tombstone
        :raises ConfigRejected: the object is invalid; the previous one stays active
        """


def leaving_mark_name(service: str, upstream: str) -> str:
    """
    Return the object name of the mark of a leaving upstream.

    :param service: name of the service
    :param upstream: name of the upstream
    :return: name within the kind ``leaving``
    """
    return f"{service}/{upstream}"


class LeavingEffect(ItemEffect):
    """
    Drains upstreams that the host list reports as leaving.

    :param tables: tables of the decision core
    :param recorder: time line that receives the events
    """

    def __init__(self, *, tables: Tables, recorder: Recorder) -> None:
        self._tables = tables
        self._recorder = recorder
        self._marked_names: set[str] = set()

    def apply_item(self, item: ConfigItem) -> None:
        row = self._find(item.name)
        if item.deleted:
            self._marked_names.discard(item.name)
            if row is not None:
                row.end_drain(DrainCause.LISTED)
            return
        self._marked_names.add(item.name)
        if row is not None and row.start_drain(DrainCause.LISTED):
            self._recorder.record(
                EventKind.UPSTREAM_DRAINING,
                service=row.service,
                upstream=row.name,
                cause=read_cause(item),
            )

    def reapply_marks(self, service: str) -> None:
        """
        Apply the marks of a service again after its rows were replaced.

        :param service: name of the service
        """
        for name in self._marked_names:
            row = self._find(name)
            if row is not None and row.service == service:
                row.start_drain(DrainCause.LISTED)

    def is_marked(self, service: str, upstream: str) -> bool:
        """
        Return whether an upstream is marked as leaving.

        :param service: name of the service
        :param upstream: name of the upstream
        :return: whether there is a mark
        """
        return leaving_mark_name(service, upstream) in self._marked_names

    def _find(self, name: str) -> UpstreamRow | None:
        service, _, upstream = name.partition("/")
        row = self._tables.services.get(service)
        return row.upstreams.get(upstream) if row else None


class ServiceEffect(ItemEffect):
    """
    Applies service specifications.

    :param tables: tables of the decision core
    :param recorder: time line that receives the events
    :param leaving: marks to apply again after a change of the service
    """

    def __init__(
        self, *, tables: Tables, recorder: Recorder, leaving: LeavingEffect
    ) -> None:
        self._tables = tables
        self._recorder = recorder
        self._leaving = leaving

    def apply_item(self, item: ConfigItem) -> None:
        if item.deleted:
            applied = self._tables.remove(item.name, revision=item.revision)
        else:
            spec = read_service(item)
            draining_before = self._find_draining(item.name)
            applied = self._tables.apply(spec, revision=item.revision)
            self._leaving.reapply_marks(item.name)
            self._record_drains(item, self._find_draining(item.name) - draining_before)
        if applied:
            self._recorder.record(
                EventKind.CONFIG_APPLIED, service=item.name, revision=item.revision
            )

    def _find_draining(self, service: str) -> set[str]:
        row = self._tables.services.get(service)
        if row is None:
            return set()
        return {
            name
            for name, upstream_row in row.upstreams.items()
            if upstream_row.drain_causes
        }

    def _record_drains(self, item: ConfigItem, names: set[str]) -> None:
        for name in sorted(names):
            self._recorder.record(
                EventKind.UPSTREAM_DRAINING,
                service=item.name,
                upstream=name,
                revision=item.revision,
                cause="an order",
            )


def read_cause(item: ConfigItem) -> str:
    """
    Return the cause stored in the mark of an upstream.

    :param item: the mark
    :return: the cause
    :raises ConfigRejected: the mark is malformed
    """
    try:
        return str(json.loads(item.json)["cause"])
    except (KeyError, TypeError, ValueError) as exc:
        raise ConfigRejected(f"leaving/{item.name}: {exc}") from exc
