"""The decision core: routing, quarantine, limits and signs of upstreams."""

from collections.abc import Iterable

from mangohatch.core.signs import SignSettings
from mangohatch.fleet.decisions import Decisions
from mangohatch.fleet.guard import SystemGuard
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.settings import FleetSettings

__all__ = ["Routing"]


class Routing(HostPart):
    """
    Runs the systems of the decision core.

    :param decisions: the decision core
    :param guard: lets the systems run one by one
    """

    name = "routing"

    def __init__(self, *, decisions: Decisions, guard: SystemGuard) -> None:
        self._decisions = decisions
        self._guard = guard

    def counters(self) -> Iterable[Counter]:
        core = self._decisions
        return (
            (
                "upstream_crashes",
                "Crashes of upstreams under requests of this host.",
                core.gate.crashes,
            ),
            (
                "requests_quarantined",
                "Requests refused because their copies crashed upstreams.",
                core.gate.refused,
            ),
            (
                "permits_granted",
                "Permits given to hosts for upstreams that name a limit.",
                core.limits.broker.granted,
            ),
            (
                "permits_used",
                "Requests sent to upstreams that name a limit.",
                core.limits.used,
            ),
            (
                "cold_requests",
                "Requests sent to cold upstreams.",
                core.limits.cold_used,
            ),
            (
                "upstreams_cold",
                "Cold states of upstreams that this host learned of.",
                core.cold.colds,
            ),
            (
                "upstreams_warm",
                "Ends of cold states of upstreams that this host learned of.",
                core.cold.warms,
            ),
            (
                "upstreams_leaving",
                "Upstreams that this host knew to leave.",
                core.signs.leavings,
            ),
            (
                "upstream_pauses",
                "Pauses that upstreams asked of this host.",
                core.signs.pauses,
            ),
        )

    async def stop(self) -> None:
        await self._decisions.crash_probe.close()

    def tick(self) -> None:
        core = self._decisions
        self._guard.run("router", core.gate.tick)
        self._guard.run("limits", core.limits.tick)
        self._guard.run("signs", core.signs.tick)

    def reload(self, cfg: FleetSettings) -> None:
        self._decisions.signs.cfg = SignSettings(max_pause_ms=cfg.bounds.max_pause_ms)
        if cfg.bounds.cold is not None and self._decisions.cold.bounds is not None:
            self._decisions.cold.bounds = cfg.bounds.cold
