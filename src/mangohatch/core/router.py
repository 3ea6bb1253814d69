"""The router, which decides which upstream runs a call and when."""

import math
import random
from collections import Counter

from mangohatch.clock import Clock
from mangohatch.core.admission import WaitingCall, WaitQueue
from mangohatch.core.call import Call, Deliver, Grant, Refusal, Report
from mangohatch.core.choice import Chooser
from mangohatch.core.choice.least_in_flight import LeastInFlightChooser
from mangohatch.core.health import Health, NoHealth
from mangohatch.core.signs import SignSystem
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import ServiceRow, Tables, UpstreamRow, UpstreamState
from mangohatch.core.timers import NoTimers, Timers
from mangohatch.errors import NoUpstream, Overloaded, RequestError

__all__ = ["Router"]

MAX_FAILED_GRANTS = 3


class Router:
    """
    Assigns calls to upstreams by the tables of this host.

    The router does no I/O. It passes its decision to ``deliver``, either immediately or
    later from :meth:`release`, from :meth:`tick` or from a timer. ``excluded`` counts
    the calls whose upstreams were all in excluded zones.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        tables: Tables,
        health: Health | None = None,
        host_id: str = "",
        chooser: Chooser | None = None,
        timers: Timers | None = None,
        signs: SignSystem | None = None,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._health = health or NoHealth()
        self._host_id = host_id
        self._signs = signs
        self._timers = timers or NoTimers()
        self._chooser = chooser or LeastInFlightChooser(
            clock=clock, rng=rng, health=self._health
        )
        self._chooser.bind(self.serve, self.count_waiting, self.urgency)
        self._queues: dict[tuple[str, bool], WaitQueue] = {}
        self._due: set[str] = set()
        self.excluded = 0

    def request(self, call: Call, deliver: Deliver) -> None:
        """
        Request an upstream for a call.

        :param call: the call, with its deadline and the upstreams to avoid
        :param deliver: receives exactly one grant or refusal
        """
        service = self._tables.services[call.service]
        excluded = self._find_exclusion(service, call)
        if excluded is not None:
            deliver(Refusal(call=call, error=excluded))
            return
        self._chooser.record_request(service)
        typical_ms = self._chooser.typical_ms(call)
        call.start_by_ms = call.objective_ms - typical_ms
        call.latest_start_ms = call.deadline_ms - typical_ms
        queue = self._queue(service, call.isolated)
        waiting = WaitingCall(call=call, deliver=deliver)
        if not queue and self._grant(service, waiting):
            return
        if call.hedge:
            self._refuse(waiting, NoUpstream("no upstream is free for a hedge"))
            return
        interval_ms = self._chooser.expected_wait_ms(service, call)
        refused = queue.offer(waiting, self._clock.now_ms(), interval_ms)
        if refused is not None:
            self._refuse_busy(queue, refused)
        if refused is waiting:
            return
        self._timers.call_later(
            waiting.until_ms - self._clock.now_ms(), lambda: self._refuse_late(queue)
        )
        if self._refuse_beyond_pauses(service, queue) and waiting not in queue:
            return
        if not self._chooser.wait(service, call, len(queue)):
            self.serve(call.service)

    def cancel(self, call: Call) -> None:
        """
        Remove a waiting call from its queue; its ``deliver`` is never called.

        :param call: a call passed to :meth:`request`
        """
        queue = self._queues.get((call.service, call.isolated))
        if queue is not None:
            queue.remove(call)

    def release(self, grant: Grant, report: Report) -> None:
        """
        End a grant and record the result of its attempt.

        :param grant: the grant that ended
        :param report: result of the attempt
        """
        grant.upstream.in_flight -= 1
        self._health.observe(grant.upstream, report, self._host_id)
        service = self._tables.services.get(grant.call.service)
        if service is None:
            return
        if grant.call.route and report.response_bytes:
            self._tables.record_response(grant.call.route, report.response_bytes)
        statement = report.statement
        # The sign system decides by itself how long an upstream counts as leaving.
        if statement.replaced or (statement.leaving and self._signs is None):
            grant.upstream.state = UpstreamState.DRAINING
        self._chooser.release(service, grant, report)
        self.serve(grant.call.service)
        if not self.count_waiting(grant.call.service):
            self._chooser.idle(service)

    def observe(self, upstream: UpstreamRow, statement: UpstreamStatement) -> None:
        """
        Record what an upstream says of itself, as soon as its response begins.

        :param upstream: the upstream
        :param statement: the decoded head of the response
        """
        if self._signs is not None:
            self._signs.observe(upstream, statement)

    def serve(self, name: str) -> None:
        """
        Assign available upstreams to waiting calls.

        :param name: name of the service
        """
        service = self._tables.services.get(name)
        if service is None:
            return
        for isolated in (False, True):
            queue = self._queues.get((name, isolated))
            if queue:
                self._serve_queue(service, queue)

    def apply_zones(self) -> None:
        """Refuse the waiting calls whose zones are now all excluded; serve the rest."""
        for (name, _), queue in self._queues.items():
            service = self._tables.services.get(name)
            if service is None:
                continue
            for waiting in queue.ordered(self._clock.now_ms()):
                excluded = self._find_exclusion(service, waiting.call)
                if excluded is not None:
                    queue.take(waiting)
                    self._refuse(waiting, excluded)
            self.serve_soon(name)

    def _find_exclusion(self, service: ServiceRow, call: Call) -> NoUpstream | None:
        if not self._tables.zones.restricts(call.allowed_regions):
            return None
        excluded = self._chooser.find_exclusion(service, call)
        self.excluded += excluded is not None
        return excluded

    def has_room(self, call: Call) -> bool:
        """
        Return whether an upstream may take a call now.

        :param call: the call, with the upstreams to avoid
        :return: whether one is open to it, and not all have to wait
        """
        service = self._tables.services.get(call.service)
        if service is None or not self._chooser.has_room(service):
            return False
        rows = service.upstreams.values()
        return any(self._chooser.is_open(row, call) for row in rows)

    def serve_soon(self, name: str) -> None:
        """
        Call :meth:`serve` once in the next iteration of the event loop.

        Under high load, many messages of one iteration free slots of the same service.

        :param name: name of the service
        """
        if name in self._due or not self._has_waiting(name):
            return
        self._due.add(name)
        self._timers.call_later(0.0, lambda: self._serve_due(name))

    def _serve_due(self, name: str) -> None:
        if name in self._due:
            self._due.discard(name)
            self.serve(name)

    def _has_waiting(self, name: str) -> bool:
        return any(self._queues.get((name, isolated)) for isolated in (False, True))

    def _serve_queue(self, service: ServiceRow, queue: WaitQueue) -> None:
        self._refuse_late(queue)
        if not self._chooser.has_room(service):
            return
        if self._refuse_beyond_pauses(service, queue):
            return
        # Calls that are restricted to full regions must not hold up the others.
        failed_grants: Counter[frozenset[str] | None] = Counter()
        for waiting in queue.ordered(self._clock.now_ms()):
            regions = waiting.call.allowed_regions
            if waiting not in queue or failed_grants[regions] >= MAX_FAILED_GRANTS:
                continue
            if self._grant(service, waiting, queue):
                continue
            failed_grants[regions] += 1
            if failed_grants[None] >= MAX_FAILED_GRANTS:
                return

    def count_waiting(self, name: str) -> int:
        """
        Count the calls that wait for a slot, without isolated calls.

        :param name: name of the service
        :return: number of calls in the queue
        """
        queue = self._queues.get((name, False))
        return len(queue) if queue is not None else 0

    def urgency(self, name: str) -> float:
        """
        Return the urgency of the calls that wait, without isolated calls.

        :param name: name of the service
        :return: urgency of the queue, 0 when no call waits
        """
        queue = self._queues.get((name, False))
        return queue.urgency(self._clock.now_ms()) if queue else 0.0

    def tick(self) -> None:
        """Run the periodic tasks: ejection, lease renewal, expiry of waiting calls."""
        self._health.tick()
        self._chooser.tick()
        for name in [*self._due]:
            self._serve_due(name)
        for queue in self._queues.values():
            self._refuse_late(queue)

    def _queue(self, service: ServiceRow, isolated: bool) -> WaitQueue:
        key = (service.spec.name, isolated)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = WaitQueue(spec=service.spec)
        queue.spec = service.spec
        return queue

    def _grant(
        self, service: ServiceRow, waiting: WaitingCall, queue: WaitQueue | None = None
    ) -> bool:
        try:
            grant = self._chooser.choose(service, waiting.call)
        except NoUpstream as exc:
            if queue is not None:
                queue.take(waiting)
            self._refuse(waiting, exc)
            return True
        if grant is None:
            return False
        if queue is not None:
            queue.serve(waiting, self._clock.now_ms())
        grant.upstream.in_flight += 1
        waiting.deliver(grant)
        return True

    def _refuse_late(self, queue: WaitQueue) -> None:
        for waiting in queue.expire(self._clock.now_ms()):
            self._refuse_busy(queue, waiting)

    def _refuse_beyond_pauses(self, service: ServiceRow, queue: WaitQueue) -> bool:
        """
        Refuse the calls that could not wait for the first pause to end.

        :param service: the service
        :param queue: its waiting calls
        :return: whether all upstreams that would take calls ask for a pause
        """
        now_ms = self._clock.now_ms()
        opens_ms = self._chooser.opens_ms(service)
        if not now_ms < opens_ms < math.inf:
            return False
        for waiting in queue.take_until(opens_ms):
            error = Overloaded(
                f"all upstreams of {service.spec.name} ask for a pause",
                retry_after_ms=opens_ms - now_ms,
            )
            self._refuse(waiting, error)
        return True

    def _refuse_busy(self, queue: WaitQueue, waiting: WaitingCall) -> None:
        error = Overloaded(
            "no upstream is free in time", retry_after_ms=queue.retry_after_ms()
        )
        self._refuse(waiting, error)

    def _refuse(self, waiting: WaitingCall, error: RequestError) -> None:
        waiting.deliver(Refusal(call=waiting.call, error=error))
