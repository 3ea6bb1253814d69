"""Tests of what serving a queue of waiting calls costs, counted in evaluations."""

import random
from unittest.mock import patch

from mangohatch.core.call import Call
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.health import NoHealth
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from tests.fixtures import make_service
from tests.functions import function_tests

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
UPSTREAMS = (6, 37, 331)
WAITING = (1, 50, 500)
MESSAGES = 20  # of one iteration of the event loop


class CountingHealth(NoHealth):
    """Counts the questions whether an upstream accepts a call."""

    def __init__(self):
        self.asked = 0

    def eligible(self, row, call):
        self.asked += 1
        return True


class CountingEstimator(LoadEstimator):
    """Counts the estimates of completion times."""

    estimates = 0

    def finish_ms(self, row, work_ms, now_ms):
        self.estimates += 1
        return super().finish_ms(row, work_ms, now_ms)


class LoopTimers(Timers):
    """Runs what is due in the next iteration when the test says so."""

    def __init__(self):
        self.next = []

    def call_later(self, delay_ms, function):
        if delay_ms <= 0.0:
            self.next.append(function)

    def iterate(self):
        due, self.next = self.next, []
        for function in due:
            function()


class FullHost:
    """A host whose upstreams are full while calls wait."""

    def __init__(self, clock, *, upstreams, waiting):
        self.clock = clock
        self.timers = LoopTimers()
        self.health = CountingHealth()
        self.estimator = CountingEstimator(clock=clock)
        tables = Tables()
        spec = make_service(upstreams=upstreams)
        tables.apply(spec.model_copy(update={"max_queue_wait_ms": 5_000.0}), revision=1)
        self.rows = tables.services[SERVICE].upstreams
        full = UpstreamLoad(running=2, waiting=0, slots=2)
        for row in self.rows.values():
            row.load.observe(full, measured_ms=clock.now_ms())
        rng = random.Random(1)
        self.router = Router(
            clock=clock,
            rng=rng,
            tables=tables,
            timers=self.timers,
            chooser=ExpectedTimeChooser(
                clock=clock,
                rng=rng,
                health=self.health,
                timers=self.timers,
                estimator=self.estimator,
                zone="puno",
            ),
        )
        self.granted = []
        now_ms = clock.now_ms()
        for number in range(waiting):
            call = Call(
                request_id=f"r{number}",
                service=SERVICE,
                arrived_ms=now_ms,
                deadline_ms=now_ms + 9_000.0,
                idempotent=True,
            )
            self.router.request(call, self.granted.append)
        self.timers.iterate()
        self.health.asked = 0
        self.estimator.estimates = 0

    def receive_messages(self):
        for _ in range(MESSAGES):
            self.router.serve_soon(SERVICE)
        self.timers.iterate()


def test_message_costs_the_same_for_any_queue_while_upstreams_are_full(clock):
    clock.advance(1_000.0)
    for upstreams in UPSTREAMS:
        for waiting in WAITING:
            host = FullHost(clock, upstreams=upstreams, waiting=waiting)
            host.receive_messages()
            assert not host.granted
            assert host.estimator.estimates == 0, host.estimator.estimates
            assert host.health.asked <= 2, host.health.asked


def test_messages_of_one_iteration_serve_the_queue_once(clock):
    clock.advance(1_000.0)
    for waiting in WAITING:
        host = FullHost(clock, upstreams=37, waiting=waiting)
        served = []
        serve = host.router.serve
        host.router.serve = lambda name: (served.append(name), serve(name))
        host.receive_messages()
        assert served == [SERVICE]


def test_freed_slot_is_used_in_the_same_iteration_as_its_messages(clock):
    clock.advance(1_000.0)
    host = FullHost(clock, upstreams=37, waiting=1)
    row = host.rows["u7"]
    free = UpstreamLoad(running=0, waiting=0, slots=2)
    clock.advance(1.0)
    row.load.observe(free, measured_ms=clock.now_ms())
    host.receive_messages()
    assert [grant.upstream.name for grant in host.granted] == ["u7"]


def test_freed_slot_without_own_calls_costs_no_ranking_of_hosts(clock):
    order = ContentionOrder(clock=clock, host_id="h0")
    for number in range(1, 20):
        order.record_demand(SERVICE, f"h{number}", 1.0)
    with patch("mangohatch.core.contention.draw_position") as draw:
        assert order.delay_ms(SERVICE, "event", 0.0) == 32.0
    assert not draw.called
