"""The system that measures upstreams, each by the host that owns it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import MemberView, PeerBus
from mangohatch.probing.probe import LoadProbe, ProbeResult
from mangohatch.probing.reports import LoadReports
from mangohatch.ranking import rank

__all__ = ["ProbeSettings", "ProbingSystem"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeSettings:
    """
    Times of measuring, in milliseconds.

    An upstream is asked every ``interval_ms``, whoever does it. Where the rhythm of
    its changes is known, it is asked ``settle_ms`` after each possible change instead,
    and before every ``phase_probe_every``-th one as well, while its time is not known
    well. To learn the rhythm, the first ``fast_probes`` follow each other after
    ``fast_interval_ms``, or after ``phase_interval_ms`` once only the phase is
    missing; ``refit_probes`` do when it was lost.
    """

    interval_ms: float = 200.0  # 5 questions an upstream and second
    settle_ms: float = 8.0  # the way of an answer, by which a change seems later
    phase_probe_every: int = 4  # with the question itself: 5 in four changes
    fast_interval_ms: float = 40.0  # a change is then known to a seventh of 300 ms
    fast_probes: int = 75  # 3 s, in which a speed changes about four times
    phase_interval_ms: float = (
        75.0  # a phase needs less than a period: a quarter of 300 ms
    )
    refit_probes: int = 25  # after a phase was lost, while the period still holds


@dataclass(slots=True, kw_only=True)
class ProbeRow:
    """An upstream that this host measures."""

    row: UpstreamRow
    fast_probes_left: int
    phase_known: bool = False
    changes: int = 0
    extra_rounds_left: int = 4
    in_progress: bool = False


class ProbingSystem:
    """
    Asks the upstreams that this host owns for their load.

    Owners follow from rendezvous hashing over the members that a host hears. While
    two views of the members differ, an upstream is measured twice or by nobody for
    a moment, which costs a few questions or makes its report older.

    :param clock: source of time
    :param tables: services and upstreams
    :param bus: knows the members
    :param probe: asks
    :param reports: tells peers
    :param timers: asks each upstream when it is due
    :param estimator: takes the answers
    :param on_load: called with the service of each upstream that was measured
    :param cfg: times
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        bus: PeerBus,
        probe: LoadProbe,
        reports: LoadReports,
        timers: Timers,
        estimator: LoadEstimator,
        on_load: Callable[[str], None],
        cfg: ProbeSettings | None = None,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._bus = bus
        self._probe = probe
        self._reports = reports
        self._timers = timers
        self._estimator = estimator
        self._on_load = on_load
        self._cfg = cfg or ProbeSettings()
        self._owned: dict[int, ProbeRow] = {}
        self._members: object = None
        self._services: Sequence[object] = []
        self.probes_sent = 0

    def tick(self) -> None:
        """Follow members and upstreams; questions have timers of their own."""
        members = self._bus.members()
        services = list(self._tables.services.values())
        if members is self._members and services == self._services:
            return
        self._members = members
        self._services = services
        self._update_owned(members)

    def _update_owned(self, members: Sequence[MemberView]) -> None:
        hosts = [item.host_id for item in members if not item.leaving]
        owned = {}
        now_ms = self._clock.now_ms()
        for row in self._tables.upstreams():
            if self._owner(row, hosts) == self._bus.host_id:
                known = self._owned.get(id(row))
                owned[id(row)] = known or self._start(row, now_ms)
        self._owned = owned
        self._probe.retain([item.row for item in owned.values()])
        self._estimator.retain(self._tables.upstreams())

    def _start(self, row: UpstreamRow, now_ms: float) -> ProbeRow:
        owned = ProbeRow(row=row, fast_probes_left=self._cfg.fast_probes)
        self._timers.call_later(0.0, lambda: self._send_probe(owned))
        return owned

    @staticmethod
    def _owner(row: UpstreamRow, hosts: list[str]) -> str:
        if not hosts:
            return ""
        return min(hosts, key=lambda host: rank(row.name, host))

    def _send_probe(self, owned: ProbeRow) -> None:
        row = owned.row
        service = self._tables.services.get(row.service)
        if self._owned.get(id(row)) is not owned or service is None:
            return
        now_ms = self._clock.now_ms()
        due_ms = self._next_due_ms(owned, now_ms)
        self._timers.call_later(due_ms - now_ms, lambda: self._send_probe(owned))
        if owned.in_progress:
            return
        owned.in_progress = True
        self.probes_sent += 1

        def done(result: ProbeResult) -> None:
            owned.in_progress = False
            self._handle_result(row, result)

        self._probe.send(row, service.spec.health_path, done)

    def _next_due_ms(self, owned: ProbeRow, now_ms: float) -> float:
        cfg = self._cfg
        change_ms = self._estimator.next_change_ms(owned.row, now_ms)
        if change_ms is not None:
            owned.phase_known = True
            owned.changes += 1
            if owned.changes % cfg.phase_probe_every == 0:
                probe_ms = self._estimator.next_informative_probe_ms(owned.row, now_ms)
                if probe_ms is not None:
                    return probe_ms
            return change_ms + cfg.settle_ms
        if owned.phase_known:
            owned.phase_known = False
            owned.fast_probes_left = max(owned.fast_probes_left, cfg.refit_probes)
        if owned.fast_probes_left > 0:
            owned.fast_probes_left -= 1
            if not self._estimator.change_periods.known:
                return now_ms + cfg.fast_interval_ms
            if not owned.fast_probes_left:
                # This one changed too seldom so far.
                owned.fast_probes_left = (
                    cfg.refit_probes if owned.extra_rounds_left else 0
                )
                owned.extra_rounds_left = max(0, owned.extra_rounds_left - 1)
            return now_ms + cfg.phase_interval_ms
        return now_ms + cfg.interval_ms

    def _handle_result(self, row: UpstreamRow, result: ProbeResult) -> None:
        if result.load is None or result.instance not in ("", row.name):
            return
        if self._estimator.observe(
            row,
            result.load,
            measured_ms=result.measured_ms,
            seen_ms=self._clock.now_ms(),
        ):
            self._reports.add(row)
            self._on_load(row.service)
