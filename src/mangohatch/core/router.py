"""The router: decides which upstream runs a call, and when."""

import random

from mangohatch.clock import Clock
from mangohatch.core.admission import Waiting, WaitQueue
from mangohatch.core.call import Call, Deliver, Grant, Refusal, Report
from mangohatch.core.choice import Chooser, LeastInFlightChooser
from mangohatch.core.health import Health, NoHealth
from mangohatch.core.tables import ServiceRow, Tables
from mangohatch.core.timers import NoTimers, Timers
from mangohatch.errors import NoUpstream, Overloaded, RequestError

__all__ = ["Router"]


class Router:
    """
    Routes calls to upstreams by what this host knows.

    The router does no I/O. It answers through ``deliver``, at once or later from
    :meth:`release`, :meth:`tick` or a message of another host.
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
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._health = health or NoHealth()
        self._host_id = host_id
        self._timers = timers or NoTimers()
        self._chooser = chooser or LeastInFlightChooser(
            clock=clock, rng=rng, health=self._health
        )
        self._chooser.bind(self.serve, self.count_waiting)
        self._queues: dict[str, WaitQueue] = {}

    def request(self, call: Call, deliver: Deliver) -> None:
        """
        Ask for an upstream.

        :param call: the call, with its deadline and the upstreams to avoid
        :param deliver: receives exactly one grant or refusal
        """
        service = self._tables.services[call.service]
        self._chooser.note_request(service)
        queue = self._queue(service)
        waiting = Waiting(call=call, deliver=deliver)
        if not queue and self._grant(service, waiting):
            return
        error = queue.offer(waiting, self._clock.now_ms())
        if error is not None:
            deliver(Refusal(call=call, error=error))
            return
        self._timers.call_later(
            waiting.until_ms - self._clock.now_ms(), lambda: self._refuse_late(queue)
        )
        if not self._chooser.wait(service, call, len(queue)):
            self.serve(call.service)

    def cancel(self, call: Call) -> None:
        """
        Forget a call that still waits; its ``deliver`` is never called.

        :param call: a call passed to :meth:`request`
        """
        queue = self._queues.get(call.service)
        if queue is not None:
            queue.remove(call)

    def release(self, grant: Grant, report: Report) -> None:
        """
        End a grant.

        :param grant: the grant that ended
        :param report: how the attempt went
        """
        grant.upstream.in_flight -= 1
        self._health.observe(grant.upstream, report, self._host_id)
        service = self._tables.services.get(grant.call.service)
        if service is None:
            return
        self._chooser.release(service, grant, report)
        queue = self._queue(service)
        if queue:
            self.serve(grant.call.service)
        if not queue:
            self._chooser.idle(service)

    def serve(self, name: str) -> None:
        """
        Give upstreams to calls that wait, as far as there are any.

        :param name: name of the service
        """
        service = self._tables.services[name]
        queue = self._queue(service)
        self._refuse_late(queue)
        while (waiting := queue.head()) is not None:
            if not self._grant(service, waiting):
                return
            queue.serve(waiting, self._clock.now_ms())

    def count_waiting(self, name: str) -> int:
        """
        Count the calls that wait for an upstream.

        :param name: name of the service
        :return: calls in the queue
        """
        queue = self._queues.get(name)
        return len(queue) if queue is not None else 0

    def tick(self) -> None:
        """Run the systems over the tables: expiry, ejection, renewal."""
        self._health.tick()
        self._chooser.tick()
        for queue in self._queues.values():
            self._refuse_late(queue)

    def _queue(self, service: ServiceRow) -> WaitQueue:
        queue = self._queues.get(service.spec.name)
        if queue is None:
            queue = WaitQueue(spec=service.spec)
            self._queues[service.spec.name] = queue
        return queue

    def _grant(self, service: ServiceRow, waiting: Waiting) -> bool:
        try:
            grant = self._chooser.choose(service, waiting.call)
        except NoUpstream as exc:
            self._refuse(waiting, exc)
            return True
        if grant is None:
            return False
        grant.upstream.in_flight += 1
        waiting.deliver(grant)
        return True

    def _refuse_late(self, queue: WaitQueue) -> None:
        for waiting in queue.expire(self._clock.now_ms()):
            error = Overloaded(
                "no upstream became free in time",
                retry_after_ms=queue.retry_after_ms(),
            )
            self._refuse(waiting, error)

    def _refuse(self, waiting: Waiting, error: RequestError) -> None:
        waiting.deliver(Refusal(call=waiting.call, error=error))
