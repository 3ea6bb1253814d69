"""The system that ends new work for upstreams that report that they are draining."""

from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.draining.probe import ReachabilityProbe
from mangohatch.core.tables import DrainCause, Tables, UpstreamRow
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.notices import UpstreamNotice
from mangohatch.ranking import rendezvous_hash
from mangohatch.timeline import EventKind, Recorder

__all__ = ["DrainSystem"]

LEAVING = "leaving"
ARRIVED = "arrived"
PROBE_INTERVAL_MS = 1_000.0
REPEAT_INTERVAL_MS = 1_000.0
MARK_TTL_MS = 900_000.0

Key = tuple[str, str]


@dataclass(slots=True, kw_only=True)
class DrainRow:
    """A draining upstream; ``has_refused`` is set once it has refused a connection."""

    address: str
    port: int
    until_ms: float
    probe_at_ms: float
    repeat_at_ms: float
    has_refused: bool = False


class DrainSystem:
    """
    Ends new work for a draining upstream on all hosts until it has restarted.

    One host, chosen by rendezvous hashing, connects to the upstream every second
    without sending a request. An upstream that refused a connection and later
    accepts one is a new process; all hosts send it work again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        bus: PeerBus,
        probe: ReachabilityProbe,
        recorder: Recorder,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._bus = bus
        self._probe = probe
        self._recorder = recorder
        self._rows: dict[Key, DrainRow] = {}
        bus.subscribe(UpstreamNotice, self._receive)

    def mark_draining(self, upstream: UpstreamRow, *, cause: str) -> None:
        """
        Mark an upstream as draining and notify all peers.

        :param upstream: the upstream that reported that it is draining
        :param cause: how this host was notified
        """
        if self._add(upstream, cause):
            self._announce(upstream, LEAVING, cause)

    def tick(self) -> None:
        """Apply marks, probe for restarts, repeat notices and expire marks."""
        now_ms = self._clock.now_ms()
        for key, row in list(self._rows.items()):
            upstream = self._find(key)
            if (
                upstream is None
                or now_ms >= row.until_ms
                or address_changed(upstream, row)
            ):
                self._remove(key, upstream)
                continue
            upstream.start_drain(DrainCause.SIGN)
            if not self._is_owner(key):
                continue
            if now_ms >= row.repeat_at_ms:
                row.repeat_at_ms = now_ms + REPEAT_INTERVAL_MS
                self._announce(upstream, LEAVING, "repeated")
            if now_ms >= row.probe_at_ms:
                row.probe_at_ms = now_ms + PROBE_INTERVAL_MS
                self._start_probe(key, row)

    def _add(self, upstream: UpstreamRow, cause: str) -> bool:
        now_ms = self._clock.now_ms()
        key = (upstream.service, upstream.name)
        known = self._rows.get(key)
        if known is not None and not address_changed(upstream, known):
            return False
        self._rows[key] = DrainRow(
            address=upstream.address,
            port=upstream.port,
            until_ms=now_ms + MARK_TTL_MS,
            probe_at_ms=now_ms + PROBE_INTERVAL_MS,
            repeat_at_ms=now_ms + REPEAT_INTERVAL_MS,
        )
        upstream.start_drain(DrainCause.SIGN)
        self._record(EventKind.UPSTREAM_DRAINING, upstream, cause)
        return True

    def _start_probe(self, key: Key, row: DrainRow) -> None:
        def done(accepted: bool) -> None:
            if self._rows.get(key) is row:
                self._handle_probe(key, row, accepted)

        self._probe.check(row.address, row.port, done)

    def _handle_probe(self, key: Key, row: DrainRow, accepted: bool) -> None:
        if not accepted:
            row.has_refused = True
            return
        if not row.has_refused:
            return
        upstream = self._find(key)
        self._remove(key, upstream)
        if upstream is not None:
            self._announce(upstream, ARRIVED, "accepts connections again")

    def _remove(self, key: Key, upstream: UpstreamRow | None) -> None:
        del self._rows[key]
        if upstream is not None and upstream.end_drain(DrainCause.SIGN):
            self._record(EventKind.UPSTREAM_RETURNED, upstream, "no longer leaving")

    def _receive(self, sender: str, notice: UpstreamNotice) -> None:
        key = (notice.service_name, notice.upstream)
        upstream = self._find(key)
        if upstream is None:
            return
        if notice.state == LEAVING:
            self._add(upstream, f"{notice.cause}, told by {sender}")
        elif notice.state == ARRIVED and key in self._rows:
            self._remove(key, upstream)

    def _find(self, key: Key) -> UpstreamRow | None:
        service = self._tables.services.get(key[0])
        return service.upstreams.get(key[1]) if service else None

    def _is_owner(self, key: Key) -> bool:
        hosts = [member.host_id for member in self._bus.members()]
        return (
            max(hosts, key=lambda host: rendezvous_hash(host, *key))
            == self._bus.host_id
        )

    def _announce(self, upstream: UpstreamRow, state: str, cause: str) -> None:
        notice = UpstreamNotice(
            service_name=upstream.service,
            upstream=upstream.name,
            state=state,
            cause=cause,
        )
        self._bus.broadcast(notice)

    def _record(self, kind: EventKind, upstream: UpstreamRow, cause: str) -> None:
        self._recorder.record(
            kind, service=upstream.service, upstream=upstream.name, cause=cause
        )


def address_changed(upstream: UpstreamRow, row: DrainRow) -> bool:
    """
    Return whether the address of an upstream differs from that of its mark.

    :param upstream: the upstream with its configured address
    :param row: mark of the draining upstream
    :return: whether the mark refers to another process
    """
    return (upstream.address, upstream.port) != (row.address, row.port)
