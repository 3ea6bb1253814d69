"""Oracle policy, an upper bound that uses the true state of all upstreams."""

from collections import deque
from functools import partial

from bench.virtual.loop import EventLoop
from bench.virtual.upstream import FakeUpstream
from mangohatch.core.call import Call, Grant, Report
from mangohatch.core.choice.base import Chooser
from mangohatch.core.tables import ServiceRow
from mangohatch.errors import NoUpstream

__all__ = ["Oracle", "OracleChooser"]


class Oracle:
    """True load of each upstream, including attempts in transit to it."""

    def __init__(
        self, *, loop: EventLoop, upstreams: dict[str, FakeUpstream], use_speed: bool
    ) -> None:
        self._loop = loop
        self.upstreams = upstreams
        self.use_speed = use_speed
        self.in_transit = dict.fromkeys(upstreams, 0)
        self.waiting: deque[OracleChooser] = deque()
        for upstream in upstreams.values():
            upstream.on_slot_freed = self.serve
            upstream.on_arrival = partial(self._record_arrival, upstream.name)

    def find_free(self, rng, names: list[str]) -> str | None:
        """
        Choose an upstream that has a free slot.

        :param rng: random source for the choice among free upstreams
        :param names: names of the upstreams that may be used
        :return: name of the upstream, None if all slots are in use
        """
        free = [name for name in names if self._is_free(name)]
        if not free:
            return None
        if not self.use_speed:
            return rng.choice(free)
        now_ms = self._loop.now_ms
        return max(
            free,
            key=lambda name: (
                self.upstreams[name].speed_profile.speed_at(now_ms),
                rng.random(),
            ),
        )

    def _record_arrival(self, name: str) -> None:
        self.in_transit[name] -= 1

    def _is_free(self, name: str) -> bool:
        upstream = self.upstreams[name]
        if upstream.down or upstream.draining:
            return False
        if upstream.fails_fast or upstream.fails_slowly:
            return False
        return upstream.load + self.in_transit[name] < upstream.slots

    def serve(self) -> None:
        """Retry waiting hosts in order of arrival while a slot is free."""
        while self.waiting and any(map(self._is_free, self.upstreams)):
            self.waiting.popleft().retry()


class OracleChooser(Chooser):
    """Places a call only at an upstream that has a free slot."""

    def __init__(self, *, oracle: Oracle, **chooser_args) -> None:
        super().__init__(**chooser_args)
        self._oracle = oracle
        self._service = ""

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        names = [row.name for row in self.candidates(service, call)]
        name = self._oracle.find_free(self._rng, names)
        if name is None:
            return None
        if name not in service.upstreams:
            raise NoUpstream("the oracle chose an unknown upstream")
        self._oracle.in_transit[name] += 1
        return self.make_grant(call, service.upstreams[name])

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        self._service = service.spec.name
        self._oracle.waiting.append(self)
        return True

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        return None

    def retry(self) -> None:
        """Notify the router that a waiting call may be placed."""
        self._available(self._service)
