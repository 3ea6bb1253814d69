"""Load probes of upstreams, and reports about them to peers."""

from collections.abc import Iterable

from mangohatch.clock import Clock
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from mangohatch.fleet.decisions import Decisions
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.peer.bus import PeerBus
from mangohatch.probing import LoadProbe, LoadReports, ProbingSystem

__all__ = ["LoadProbing"]


class LoadProbing(HostPart):
    """
    Probes the upstreams that this host owns.

    :param clock: source of time
    :param tables: services and upstreams
    :param subset: the hosts that use each upstream
    :param bus: sends reports to these hosts
    :param timers: sends probes and reports on time
    :param estimator: estimates when an upstream completes a request
    :param decisions: the decision core
    :param probe: sends the probes
    :param enabled: whether placement depends on the load of upstreams
    """

    name = "probing"

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        subset: SubsetTable,
        bus: PeerBus,
        timers: Timers,
        estimator: LoadEstimator,
        decisions: Decisions,
        probe: LoadProbe,
        enabled: bool,
    ) -> None:
        self._probe = probe
        self._enabled = enabled
        self.reports = LoadReports(
            clock=clock,
            tables=tables,
            subset=subset,
            bus=bus,
            timers=timers,
            estimator=estimator,
            on_load=decisions.router.serve_soon,
            signs=decisions.signs,
            cold=decisions.cold,
        )
        decisions.limits.on_limit = self.reports.add
        self.system = ProbingSystem(
            clock=clock,
            tables=tables,
            subset=subset,
            probe=probe,
            reports=self.reports,
            timers=timers,
            estimator=estimator,
            on_load=decisions.router.serve_soon,
            signs=decisions.signs,
            cold=decisions.cold,
        )

    def counters(self) -> Iterable[Counter]:
        return (
            (
                "load_questions",
                "Upstreams asked for load.",
                self.system.probes_sent,
            ),
            (
                "load_connections",
                "Connections opened to ask for load.",
                self._probe.connections,
            ),
        )

    async def stop(self) -> None:
        await self._probe.close()

    def tick(self) -> None:
        if self._enabled:
            self.system.tick()
