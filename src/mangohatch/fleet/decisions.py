"""Builds the decision core of a fleet host."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.choice.base import Chooser
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.choice.placement import PlacementSettings
from mangohatch.core.choice.power_of_two import PowerOfTwoChooser
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.health import OutlierHealth
from mangohatch.core.hedging import (
    HedgePolicy,
    HedgeShare,
    HedgeSystem,
    NoHedges,
    ReportedSlowness,
)
from mangohatch.core.limits import ColdStates, LimitOwnership, PermitTable
from mangohatch.core.limits.quota_gate import QuotaGate
from mangohatch.core.limits.quotas import QuotaPermits
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.moving import MovePolicy
from mangohatch.core.quarantine import (
    CrashEvidence,
    QuarantineGate,
    QuarantineNotices,
    QuarantineTable,
)
from mangohatch.core.router import Router
from mangohatch.core.signs import SignSettings, SignSystem
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from mangohatch.fleet.health_log import HealthLog
from mangohatch.fleet.placement import Placement
from mangohatch.fleet.settings import FleetSettings
from mangohatch.peer.bus import PeerBus
from mangohatch.probing import LoadProbe, PlacementUpdates, ProbeCrashCheck
from mangohatch.timeline import Recorder

__all__ = ["Decisions", "make_decisions"]

SHARE_RISE_MS = 2_000.0  # until both parts of a fleet know that they have joined


@dataclass(slots=True, kw_only=True, frozen=True)
class Decisions:
    """
    The decision core of a host; requests enter it through ``gate``.

    ``health`` is the health of the upstreams. ``should_move`` returns whether a request
    should move to another upstream; it is None if the placement policy never moves
    requests. ``hedges`` decides about second attempts. ``limits`` keeps the limits that
    upstreams name, ``quotas`` those of client accounts, ``cold`` which upstreams are
    cold, and ``signs`` which of them leave or ask for a pause. ``crash_probe`` sends
    the checks of ``gate``.
    """

    router: Router
    health: OutlierHealth
    gate: QuarantineGate
    limits: PermitTable
    cold: ColdStates
    quotas: QuotaPermits
    signs: SignSystem
    should_move: Callable[[Grant], bool] | None
    crash_probe: LoadProbe
    hedges: HedgeSystem


def make_decisions(
    *,
    cfg: FleetSettings,
    clock: Clock,
    rng: random.Random,
    tables: Tables,
    subset: SubsetTable,
    bus: PeerBus,
    timers: Timers,
    estimator: LoadEstimator,
    recorder: Recorder,
    placement: Placement,
    crash_probe: LoadProbe,
) -> Decisions:
    """
    Build the decision core.

    :param cfg: validated settings of the host
    :param clock: source of time
    :param rng: source of random numbers
    :param tables: services, upstreams and routes
    :param subset: the hosts that use each upstream
    :param bus: sends messages to other hosts
    :param timers: wakes waiting calls
    :param estimator: estimates when an upstream completes a request
    :param recorder: records events on the timeline
    :param placement: placement policy, chooses the upstream of a request
    :param crash_probe: checks whether upstreams have crashed
    :return: the components of the decision core
    """
    cold = ColdStates(
        clock=clock,
        tables=tables,
        subset=subset,
        ownership=LimitOwnership(
            clock=clock,
            bus=bus,
            # Cut off from its start, a host must not take itself for the whole fleet.
            expected=1 + sum(seed != cfg.peers for seed in cfg.seeds),
            rise_ms=SHARE_RISE_MS,
        ),
        bounds=cfg.bounds.cold,
    )
    limits = PermitTable(
        clock=clock, tables=tables, subset=subset, bus=bus, timers=timers, cold=cold
    )
    signs = SignSystem(
        clock=clock,
        rng=rng,
        tables=tables,
        subset=subset,
        bus=bus,
        timers=timers,
        cfg=SignSettings(max_pause_ms=cfg.bounds.max_pause_ms),
    )
    health = OutlierHealth(clock=clock, rng=rng, listener=HealthLog())
    chooser: Chooser
    should_move = None
    hedge_policy: HedgePolicy = NoHedges()
    contention = ContentionOrder(clock=clock, host_id=bus.host_id, subset=subset)
    if placement is Placement.POWER_OF_TWO:
        chooser = PowerOfTwoChooser(clock=clock, rng=rng, health=health)
    else:
        placement_updates = PlacementUpdates(
            clock=clock,
            tables=tables,
            subset=subset,
            bus=bus,
            timers=timers,
            contention=contention,
        )
        chooser = ExpectedTimeChooser(
            clock=clock,
            rng=rng,
            health=health,
            timers=timers,
            estimator=estimator,
            zone=cfg.zone,
            cfg=PlacementSettings(late_requests_yield=cfg.late_requests_yield),
            listener=placement_updates,
            contention=contention,
            limits=limits,
        )
        placement_updates.on_slot_freed = chooser.apply_contention_order
        estimator.on_improvement = chooser.apply_contention_order
        should_move = MovePolicy(
            clock=clock, tables=tables, estimator=estimator, chooser=chooser
        ).should_move
        hedge_policy = ReportedSlowness(
            clock=clock, tables=tables, estimator=estimator, chooser=chooser
        )
    router = Router(
        clock=clock,
        rng=rng,
        tables=tables,
        health=health,
        host_id=bus.host_id,
        chooser=chooser,
        timers=timers,
        signs=signs,
    )
    signs.on_change = router.serve_soon
    if placement is not Placement.POWER_OF_TWO:
        placement_updates.on_service_freed = router.serve_soon
        placement_updates.urgency = router.urgency
    cold.on_change = router.serve_soon
    limits.on_permit = router.serve_soon
    limits.count_waiting = router.count_waiting
    evidence = None
    if placement is not Placement.POWER_OF_TWO:
        evidence = CrashEvidence(
            clock=clock,
            timers=timers,
            check=ProbeCrashCheck(tables=tables, probe=crash_probe),
            hears_upstreams=lambda since_ms: any(
                row.load.measured_ms > since_ms for row in tables.upstreams()
            ),
        )
    quotas = QuotaPermits(
        clock=clock,
        rng=rng,
        bus=bus,
        timers=timers,
        accounts=tables.accounts,
        bounds=cfg.bounds.quota,
        alone=all(seed == cfg.peers for seed in cfg.seeds),
    )
    quarantine = QuarantineTable(clock=clock)
    # The order of a request after its route and key: quarantine, quota, queue.
    gate = QuarantineGate(
        clock=clock,
        router=QuotaGate(
            clock=clock,
            router=router,
            accounts=tables.accounts,
            permits=quotas,
            timers=timers,
        ),
        table=quarantine,
        notices=QuarantineNotices(clock=clock, rng=rng, bus=bus, table=quarantine),
        recorder=recorder,
        evidence=evidence,
    )
    hedges = HedgeSystem(
        policy=hedge_policy,
        share=HedgeShare(ratio=cfg.bounds.hedge_ratio),
        is_suspected=gate.is_suspected,
        has_waiting=lambda name: (
            router.count_waiting(name) > 0 or contention.is_contested(name)
        ),
    )
    return Decisions(
        router=router,
        health=health,
        gate=gate,
        limits=limits,
        cold=cold,
        quotas=quotas,
        signs=signs,
        should_move=should_move,
        crash_probe=crash_probe,
        hedges=hedges,
    )
