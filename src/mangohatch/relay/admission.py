"""Decides whether this host opens a connection to an upstream for a peer."""

from mangohatch.core.paths import PathTable, RelayRefusal
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.peer.messages.relay import RelayRequest

__all__ = ["RelayAdmission"]

MAX_CONNECTIONS = 800  # a fifth of the descriptors of a host, two for each connection


class RelayAdmission:
    """
    Admits connections of members to upstreams that this host knows and reaches.

    ``open`` counts the connections that this host relays, and ``leaving`` is set once
    it takes no more of them.

    :param tables: upstreams
    :param paths: the paths of this host, which relays over direct ones only
    """

    def __init__(self, *, tables: Tables, paths: PathTable) -> None:
        self.open = 0
        self.leaving = False
        self._tables = tables
        self._paths = paths

    def admit(self, request: RelayRequest) -> UpstreamRow | RelayRefusal:
        """
        Decide about a request of a member.

        :param request: the request
        :return: the upstream to connect to, or why there is no connection
        """
        if self.leaving:
            return RelayRefusal.LEAVING
        if self.open >= MAX_CONNECTIONS:
            return RelayRefusal.BUSY
        service = self._tables.services.get(request.service_name)
        row = service.upstreams.get(request.upstream) if service else None
        if row is None or row.instance != make_instance(request):
            return RelayRefusal.UNKNOWN_UPSTREAM
        if row.zones.is_evacuated(row.zone):
            return RelayRefusal.EVACUATED
        if self._paths.is_lost(row):
            return RelayRefusal.CUT_OFF
        return row


def make_instance(request: RelayRequest) -> tuple[str, str, str, int, float]:
    """
    Return the upstream process that a request names.

    :param request: the request
    :return: its identity, as in the rows of the tables
    """
    return (
        request.service_name,
        request.upstream,
        request.address,
        request.port,
        request.started_ms,
    )
