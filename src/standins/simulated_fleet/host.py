"""One host of a simulated fleet: a fleet host with simulated surroundings."""

import random
from contextvars import copy_context
from dataclasses import replace

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from mangohatch.core.accounts import digest_key
from mangohatch.core.admission.caller_age import CallerAgeTable
from mangohatch.core.call import Call, Decision, Grant, Report, Result
from mangohatch.core.limits import ColdBounds
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.statement import UpstreamStatement
from mangohatch.directory import DirectoryPart
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.body import RequestBody
from mangohatch.fleet.components import FleetComponents
from mangohatch.fleet.host import FleetHost
from mangohatch.fleet.lifecycle import BUSY_TICK_MS, IDLE_TICK_MS
from mangohatch.fleet.placement import Placement
from mangohatch.fleet.settings import FleetBounds, FleetSettings
from mangohatch.peer.datagram import PeerAddress
from mangohatch.platform.protocol import PlatformProtocol
from mangohatch.platform.statement import read_probe
from mangohatch.upstream.response import ResponseHead
from standins.simulated_fleet.documents import apply_part, read_configuration
from standins.simulated_fleet.network import HostLimits, PeerNetwork
from standins.simulated_fleet.requests import SimulatedRequest
from standins.simulated_fleet.store import (
    CONFIGURATION,
    EVACUATIONS,
    SimulatedSource,
    SimulatedStore,
)
from standins.simulated_fleet.upstreams import SimulatedProbe, SimulatedUpstream
from standins.virtual_loop import LoopClock, VirtualLoop

__all__ = ["SimulatedHost"]

DEADLINE_MS = 3_000.0
OBJECTIVE_MS = 400.0
RESPONSE_BYTES = 1_500
MAX_ATTEMPTS = 2
OK = 200
SERVICE_UNAVAILABLE = 503
ANSWERED = frozenset({Result.OK, Result.REFUSED})
NOT_RUN = frozenset({Result.UNREACHABLE, Result.REFUSED})
PERCENT = 100.0
MS_PER_S = 1000.0
EVACUATE_MS = 5_000.0
UNUSED = ("127.0.0.1", 0)
BOUNDS = FleetBounds(
    grace_ms=6_000.0, retry_ratio=0.1, retry_slack=200.0, retry_window_ms=10_000.0
)


class SimulatedHost:
    """
    A fleet host that ticks in virtual time and whose requests are simulated.

    ``in_force_ms`` holds the time at which each version of the configuration came
    into force on this host, and ``told_ms`` the time at which it passed on the first
    answer with each limit of an upstream. ``leaving_ms`` holds the same for the answers
    by which upstreams leave, and ``pauses`` lists the upstreams that asked for a pause,
    with its begin and end. ``evacuated_ms`` holds the times at which the evacuations of
    a zone came into force, by the revision of their entries.

    :param host_id: id of the host
    :param zone: its availability zone
    :param address: its address for peers
    :param seeds: addresses of hosts that it contacts first
    :param loop: event loop in virtual time
    :param network: carries its datagrams
    :param store: the store
    :param upstreams: upstreams by name
    :param limits: limits of the host, none if None
    :param rng: source of random numbers
    :param caller_ages: estimates the age of requests; None to take each for a first
        attempt
    :param evacuations: whether it follows evacuations of zones
    :param cold: bounds of what cold upstreams get, None if they are not limited
    :param quota: bounds of the quotas of client accounts, None for none
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        address: PeerAddress,
        seeds: tuple[PeerAddress, ...],
        loop: VirtualLoop,
        network: PeerNetwork,
        store: SimulatedStore,
        upstreams: dict[str, SimulatedUpstream],
        limits: HostLimits | None,
        rng: random.Random,
        caller_ages: CallerAgeTable | None = None,
        evacuations: bool = False,
        cold: ColdBounds | None = None,
        quota: QuotaBounds | None = None,
    ) -> None:
        self.host_id = host_id
        self._caller_ages = caller_ages
        self.evacuated_ms: dict[str, dict[int, float]] = {}
        self.in_force_ms: dict[int, float] = {}
        self.told_ms: dict[tuple[str, float], float] = {}
        self.leaving_ms: dict[str, float] = {}
        self.pauses: list[tuple[str, float, float]] = []
        self.granted = 0
        self.refused = 0
        self.running = True
        self._context = copy_context()
        self._held: list[tuple[bytes, PeerAddress]] | None = None
        self._loop = loop
        self._clock = LoopClock(loop=loop)
        self.started_ms = self._clock.now_ms()
        self._upstreams = upstreams
        self._in_flight = 0
        self.port = network.add(address, self._receive, limits)
        source = SimulatedSource(
            store=store, clock=self._clock, port=self.port, evacuations=evacuations
        )
        self._protocol = PlatformProtocol(rng=rng)
        components = FleetComponents(
            protocol=self._protocol,
            source=source,
            apply_part=self._apply_part,
            read_probe=read_probe,
            readiness_path="/readyz",
            metrics_path="/metrics",
        )
        cfg = FleetSettings(
            host_id=host_id,
            zone=zone,
            entry=UNUSED,
            readiness=UNUSED,
            peers=address,
            metrics=UNUSED,
            seeds=seeds,
            store=UNUSED,
            bounds=replace(
                BOUNDS,
                evacuate_ms=EVACUATE_MS if evacuations else None,
                cold=cold,
                quota=quota,
            ),
        )
        probe = SimulatedProbe(
            loop=loop,
            clock=self._clock,
            upstreams=upstreams,
            tells_cold=cold is not None,
        )
        self.fleet_host = FleetHost(
            cfg=cfg,
            clock=self._clock,
            rng=rng,
            components=components,
            placement=Placement.EXPECTED_TIME,
            probe=probe,
            crash_probe=probe,
        )
        self.fleet_host.bus.attach(self.port)
        loop.call_soon(self._tick)

    def pause_for(self, span_ms: float) -> None:
        """
        Let the host not run for a time; what arrives is handled afterwards.

        :param span_ms: milliseconds
        """
        self.pause()
        self._loop.call_later(span_ms / MS_PER_S, self.resume)

    def _receive(self, data: bytes, sender: PeerAddress) -> None:
        if self._held is not None:
            self._held.append((data, sender))
        else:
            handle = self.fleet_host.bus.handle_datagram
            self._context.run(handle, data, sender)

    def pause(self) -> None:
        """Pause the process; its datagrams wait in the socket."""
        self._held = []
        self._loop.pause(self.host_id)

    def resume(self) -> None:
        """Resume the process."""
        held, self._held = self._held or [], None
        for data, sender in held:
            self._receive(data, sender)
        self._loop.resume(self.host_id)

    @property
    def paused(self) -> bool:
        """Whether the process is paused."""
        return self._held is not None

    def member_ids(self) -> set[str]:
        """
        List the members that this host considers alive.

        :return: host ids, including its own
        """
        return {member.host_id for member in self.fleet_host.bus.members()}

    def step_wall_clock(self, delta_ms: float) -> None:
        """
        Step the time of day of the host.

        :param delta_ms: milliseconds to add, negative for a step back
        """
        self._clock.step_wall(delta_ms)

    def kill(self) -> None:
        """Stop without a message, like a host that loses its power."""
        self.running = False
        self.port.close()

    def request(self, call_id: str, service: str, work_ms: float) -> None:
        """
        Place a request on an upstream and let it run there.

        :param call_id: id of the request
        :param service: name of its service
        :param work_ms: work in milliseconds at the typical speed of an upstream
        """
        if service not in self.fleet_host.tables.services:
            self.refused += 1
            return
        now_ms = self._clock.now_ms()
        call = Call(
            request_id=call_id,
            service=service,
            arrived_ms=now_ms,
            deadline_ms=now_ms + DEADLINE_MS,
            objective_ms=now_ms + OBJECTIVE_MS,
            idempotent=True,
            route=service,
            response_bytes=RESPONSE_BYTES,
        )
        self._in_flight += 1
        self.fleet_host.gate.request(call, lambda item: self._run(item, work_ms))

    def submit(self, req: SimulatedRequest, service: str) -> None:
        """
        Forward a request like a host of the platform, with a retry after a failure.

        :param req: the request
        :param service: name of its service
        """
        self._context.run(self._submit, req, service)

    def _submit(self, req: SimulatedRequest, service: str) -> None:
        now_ms = self._clock.now_ms()
        req.arrived_ms = now_ms
        req.host_started_ms = self.started_ms
        if service not in self.fleet_host.tables.services:
            req.end("no_configuration", now_ms)
            return
        age_ms = 0.0
        if self._caller_ages is not None:
            group = req.route or service
            age_ms = self._caller_ages.estimate_ms(group, req.deadline_ms)
        call = Call(
            request_id=req.request_id,
            service=service,
            arrived_ms=now_ms,
            deadline_ms=now_ms + req.deadline_ms,
            objective_ms=now_ms - age_ms + (req.objective_ms or OBJECTIVE_MS),
            idempotent=req.idempotent,
            customer=req.account or req.caller,
            account=req.account,
            key_digest=digest_key(req.account) if req.account else b"",
            route=req.route or service,
            max_attempts=MAX_ATTEMPTS,
            response_bytes=RESPONSE_BYTES,
        )
        self._identify(req, call)
        self.fleet_host.budget.earn(call)
        self._in_flight += 1
        self._attempt(req, call)

    def _identify(self, req: SimulatedRequest, call: Call) -> None:
        body = None
        if req.body:
            body = make_body(req.body)
        active = ActiveRequest(
            call=call,
            line=RequestStartLine(req.method, req.target, "HTTP/1.1"),
            headers=HTTPHeaders({"Host": "site.example"}),
            body=body,
            sink=None,  # type: ignore[arg-type]  # nothing is answered
        )
        self._protocol.prepare_headers(active)

    def _attempt(self, req: SimulatedRequest, call: Call) -> None:
        self.fleet_host.gate.request(call, lambda item: self._send(req, item))

    def _send(self, req: SimulatedRequest, decision: Decision) -> None:
        now_ms = self._clock.now_ms()
        if not isinstance(decision, Grant):
            self._in_flight -= 1
            req.retry_after_ms = decision.error.retry_after_ms
            req.end(decision.error.code, now_ms)
            return
        if req.broken_ms is not None:
            req.held_ms = max(req.held_ms, now_ms - req.broken_ms)
            req.broken_ms = None
        req.sent_ms.append(now_ms)
        req.reached.append(decision.upstream.name)
        self._upstreams[decision.upstream.name].run(
            req.work_ms,
            lambda result: self._end_attempt(req, decision, result),
            host_id=self.host_id,
            crashes=req.crashes,
            reset_after_ms=req.reset_after_ms if len(req.sent_ms) == 1 else None,
        )

    def _end_attempt(self, req: SimulatedRequest, grant: Grant, result: Result) -> None:
        if not self.running:
            return
        call = grant.call
        now_ms = self._clock.now_ms()
        report = Report(
            result=result,
            latency_ms=now_ms - grant.granted_ms,
            not_run=result in NOT_RUN,
        )
        if result is Result.ABORTED:
            req.broken_ms = now_ms
        elif result is Result.OK:
            report.first_byte_ms = report.latency_ms
            report.response_bytes = RESPONSE_BYTES
        if result in ANSWERED:
            self._read_head(grant, report)
        self.fleet_host.gate.release(grant, report)
        may_repeat = call.idempotent or result in NOT_RUN
        if result is Result.OK:
            self._in_flight -= 1
            req.end("", now_ms)
        elif may_repeat and call.attempt < call.max_attempts:
            self.fleet_host.budget.request(
                call, lambda allowed: self._retry(req, grant, result, allowed)
            )
        else:
            self._in_flight -= 1
            req.end(str(result), now_ms)

    def _retry(
        self, req: SimulatedRequest, grant: Grant, result: Result, allowed: bool
    ) -> None:
        if not self.running:
            return
        if not allowed:
            self._in_flight -= 1
            req.end(str(result), self._clock.now_ms())
            return
        call = grant.call
        avoid = call.avoid | {grant.upstream.name}
        self._attempt(req, replace(call, avoid=avoid, attempt=call.attempt + 1))

    def _read_head(self, grant: Grant, report: Report) -> None:
        upstream = self._upstreams[grant.upstream.name]
        now_ms = self._clock.now_ms()
        load = upstream.load()
        percent = round(load.slowdown * PERCENT)
        headers = HTTPHeaders(
            {"Upstream-Load": f"{load.running},{load.waiting},{load.slots},{percent}"}
        )
        if upstream.limit_per_s is not None:
            headers["Server-Limit"] = f"{upstream.limit_per_s:g}"
            self.told_ms.setdefault((upstream.name, upstream.limit_per_s), now_ms)
        if upstream.leaving:
            headers["Server-Leaving"] = "1"
            self.leaving_ms.setdefault(upstream.name, now_ms)
        status = OK
        if report.result is Result.REFUSED:
            status = SERVICE_UNAVAILABLE
            headers["Not-Executed"] = "1"
            pause_ms = upstream.asked_pause_ms()
            if pause_ms is not None:
                headers["Retry-After"] = f"{pause_ms / MS_PER_S:.3f}"
                self.pauses.append((upstream.name, now_ms, now_ms + pause_ms))
        head = ResponseHead(
            line=ResponseStartLine("HTTP/1.1", status, ""), headers=headers
        )
        report.statement = self._protocol.read_statement(head, grant.upstream)
        self.fleet_host.gate.observe(grant.upstream, report.statement)

    def _run(self, decision: Decision, work_ms: float) -> None:
        if not isinstance(decision, Grant):
            self._in_flight -= 1
            self.refused += 1
            return
        self.granted += 1
        duration_ms = self._upstreams[decision.upstream.name].start(work_ms)
        self._loop.call_later(
            duration_ms / MS_PER_S, self._release, decision, duration_ms
        )

    def _release(self, grant: Grant, duration_ms: float) -> None:
        self._in_flight -= 1
        if not self.running:
            return
        report = Report(
            result=Result.OK,
            latency_ms=duration_ms,
            first_byte_ms=duration_ms,
            statement=UpstreamStatement(
                load=self._upstreams[grant.upstream.name].load()
            ),
            response_bytes=RESPONSE_BYTES,
        )
        self.fleet_host.gate.release(grant, report)

    def _apply_part(self, part: DirectoryPart, updater: TableUpdater) -> None:
        apply_part(part, updater)
        if part.name == EVACUATIONS:
            for item in part.items.values():
                times_ms = self.evacuated_ms.setdefault(item.name, {})
                times_ms.setdefault(item.revision, self._clock.now_ms())
        if part.name != CONFIGURATION:
            return
        for item in part.items.values():
            if item.revision == self.fleet_host.tables.routes.revision:
                version = read_configuration(item.json).version
                self.in_force_ms.setdefault(version, self._clock.now_ms())

    def _tick(self) -> None:
        if not self.running:
            return
        self.fleet_host.tick()
        delay_ms = BUSY_TICK_MS if self._in_flight else IDLE_TICK_MS
        self._loop.call_later(delay_ms / MS_PER_S, self._tick)


def make_body(content: bytes) -> RequestBody:
    """
    Make a body that has arrived, for fingerprints.

    :param content: at most the beginning of a body
    :return: the body
    """
    body = RequestBody()
    body.add_beginning(content)
    body.end()
    return body
