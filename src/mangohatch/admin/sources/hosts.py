"""The row that describes this host."""

from collections.abc import Callable, Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.language import Subject
from mangohatch.peer.bus import PeerBus

__all__ = ["HostSource"]

READY = "ready"


class HostSource(RowSource):
    """
    One row with the state of this host.

    :param bus: peer bus, which lists the members
    :param not_ready: returns why this host is not ready, None when it is ready
    :param revision: returns the newest active revision of the configuration
    """

    subject = Subject.HOSTS

    def __init__(
        self,
        *,
        bus: PeerBus,
        not_ready: Callable[[], str | None],
        revision: Callable[[], int],
    ) -> None:
        self._bus = bus
        self._not_ready = not_ready
        self._revision = revision

    def rows(self, service: str) -> Iterable[Row]:
        members = self._bus.members()
        for member in members:
            if member.host_id == self._bus.host_id:
                yield {
                    "zone": member.zone,
                    "state": "leaving" if member.leaving else "alive",
                    "ready": self._not_ready() or READY,
                    "incarnation": member.incarnation,
                    "members": len(members),
                    "revision": self._revision(),
                }
