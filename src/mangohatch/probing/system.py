"""Periodic load probes of upstreams, sent by the host that owns the upstream."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.limits.cold import ColdStates
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.signs import SignSystem
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.probing.probe import LoadProbe, ProbeResult
from mangohatch.probing.reports import LoadReports

__all__ = ["ProbeSettings", "ProbingSystem"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeSettings:
    """
    Intervals and numbers of load probes.

    An upstream is probed every ``interval_ms`` by the host that owns it. Once the
    phase of its speed changes is known, it is probed ``settle_ms`` after each possible
    change instead. Every ``phase_probe_every``-th of these probes is an additional one
    before a possible change, to narrow the phase, unless it is known accurately.

    To find the period, the first ``fast_probes`` of an upstream are sent every
    ``fast_interval_ms``. If the period is known and only the phase of the upstream is
    not, they are sent every ``phase_interval_ms``. After a phase was discarded,
    ``refit_probes`` are sent in the same way.
    """

    interval_ms: float = 200.0  # 5 probes per second and upstream
    settle_ms: float = 8.0  # response transfer time, which delays the observed change
    phase_probe_every: int = 4  # 4 probes per 3 possible changes
    # A neighbour's share of the machine is redrawn about every 300 ms, and a change of
    # speed is located within a seventh of that.
    fast_interval_ms: float = 40.0
    fast_probes: int = 75  # 3 s, in which the speed changes about four times
    # A quarter of the about 300 ms after which a neighbour's share of the machine is
    # redrawn; a phase needs less accuracy than a period.
    phase_interval_ms: float = 75.0
    refit_probes: int = 25  # after a phase was discarded, while the period is valid


@dataclass(slots=True, kw_only=True)
class ProbeRow:
    """An upstream that this host probes."""

    row: UpstreamRow
    fast_probes_left: int
    phase_known: bool = False
    changes: int = 0
    extra_rounds_left: int = 4
    in_progress: bool = False


class ProbingSystem:
    """
    Sends load probes to the upstreams that this host owns.

    While the member lists of hosts differ, an upstream may be probed by two hosts,
    which costs a few additional probes, or by none, which makes its report older.

    :param clock: source of time
    :param tables: services and upstreams
    :param subset: the owner of each upstream
    :param probe: sends load probes
    :param reports: sends the results to peers
    :param timers: schedules the next probe of each upstream
    :param estimator: receives the results
    :param on_load: called with the service name of each upstream that was probed
    :param signs: receives what responses say of their upstream
    :param cfg: intervals and numbers of load probes
    :param cold: receives for how long upstreams remain cold; None if none ever is
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        subset: SubsetTable,
        probe: LoadProbe,
        reports: LoadReports,
        timers: Timers,
        estimator: LoadEstimator,
        on_load: Callable[[str], None],
        signs: SignSystem,
        cfg: ProbeSettings | None = None,
        cold: ColdStates | None = None,
    ) -> None:
        self._cold = cold
        self._clock = clock
        self._tables = tables
        self._subset = subset
        self._probe = probe
        self._reports = reports
        self._timers = timers
        self._estimator = estimator
        self._on_load = on_load
        self._signs = signs
        self._cfg = cfg or ProbeSettings()
        self._owned: dict[int, ProbeRow] = {}
        self._subset_version: int | None = None
        self._services: Sequence[object] = []
        self.probes_sent = 0

    def tick(self) -> None:
        """
        Update the owned upstreams when owners or services have changed.

        The probes themselves are scheduled by timers.
        """
        version = self._subset.version
        services = list(self._tables.services.values())
        if version == self._subset_version and services == self._services:
            return
        self._subset_version = version
        self._services = services
        self._update_owned()

    def _update_owned(self) -> None:
        owned = {}
        now_ms = self._clock.now_ms()
        for row in self._tables.upstreams():
            if self._subset.owner(row.service, row.name) == self._subset.host_id:
                known = self._owned.get(id(row))
                owned[id(row)] = known or self._start(row, now_ms)
        self._owned = owned
        self._probe.retain([item.row for item in owned.values()])
        self._estimator.retain(self._tables.upstreams())

    def _start(self, row: UpstreamRow, now_ms: float) -> ProbeRow:
        owned = ProbeRow(row=row, fast_probes_left=self._cfg.fast_probes)
        self._timers.call_later(0.0, lambda: self._send_probe(owned))
        return owned

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
                # Too few changes were observed to find the phase; send more probes.
                owned.fast_probes_left = (
                    cfg.refit_probes if owned.extra_rounds_left else 0
                )
                owned.extra_rounds_left = max(0, owned.extra_rounds_left - 1)
            return now_ms + cfg.phase_interval_ms
        return now_ms + cfg.interval_ms

    def _handle_result(self, row: UpstreamRow, result: ProbeResult) -> None:
        if result.instance not in ("", row.name):
            return
        if result.leaving:
            self._signs.observe(row, UpstreamStatement(leaving=True))
        if result.cold_ms is not None and self._cold is not None:
            self._cold.observe(row, result.cold_ms, seen_ms=result.measured_ms)
        if result.load is None:
            return
        self._signs.observe_report(
            row,
            leaving=result.leaving,
            healthy=result.load.healthy,
            measured_ms=result.measured_ms,
        )
        if self._estimator.observe(
            row,
            result.load,
            measured_ms=result.measured_ms,
            seen_ms=self._clock.now_ms(),
        ):
            self._reports.add(row)
            self._on_load(row.service)
