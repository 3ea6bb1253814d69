"""Tests of placement by expected completion time."""

from collections import Counter

from mangohatch.core.call import Call, Grant, Refusal, Report, Result
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.choice.placement import PlacementListener, PlacementSettings
from mangohatch.core.health import NoHealth
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.core.timers import NoTimers
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
WORK_MS = 100.0
OBJECTIVE_MS = 300.0


class RecordingListener(PlacementListener):
    def __init__(self):
        self.started = []
        self.ended = []
        self.waiting = []

    def on_started(self, grant):
        self.started.append((grant.upstream.name, grant.token))

    def on_ended(self, grant):
        self.ended.append((grant.upstream.name, grant.token))

    def on_waiting(self, service):
        self.waiting.append(service)


class Bench:
    """A router with one service of four upstreams."""

    def __init__(self, clock, rng):
        self.clock = clock
        self.tables = Tables()
        spec = make_service(upstreams=4).model_copy(update={"max_queue_wait_ms": 500.0})
        self.tables.apply(spec, revision=1)
        self.rows = self.tables.services[SERVICE].upstreams
        self.estimator = LoadEstimator(clock=clock)
        self.listener = RecordingListener()
        self.chooser = ExpectedTimeChooser(
            clock=clock,
            rng=rng,
            health=NoHealth(),
            timers=NoTimers(),
            estimator=self.estimator,
            zone="puno",
            listener=self.listener,
        )
        self.router = Router(
            clock=clock, rng=rng, tables=self.tables, chooser=self.chooser
        )
        self.decisions = []

    def report(self, name, *, running=0, slowdown=1.0):
        load = UpstreamLoad(running=running, waiting=0, slots=2, slowdown=slowdown)
        now_ms = self.clock.now_ms()
        self.estimator.observe(
            self.rows[name], load, measured_ms=now_ms, seen_ms=now_ms
        )

    def ask(self, **fields):
        now_ms = self.clock.now_ms()
        values = {
            "request_id": f"r{len(self.decisions)}",
            "service": SERVICE,
            "arrived_ms": now_ms,
            "deadline_ms": now_ms + 1000.0,
            "idempotent": True,
        }
        call = Call(**(values | fields))
        self.router.request(call, self.decisions.append)
        return call

    def chosen(self):
        return Counter(
            item.upstream.name for item in self.decisions if isinstance(item, Grant)
        )


@fixture
def bench(clock, rng):
    clock.advance(1_000.0)
    return Bench(clock, rng)


def test_slow_upstreams_get_no_call_while_a_fast_one_is_free(bench):
    for name in ("u1", "u2", "u3"):
        bench.report(name, slowdown=4.0)
    bench.report("u4")
    bench.ask()
    assert bench.chosen() == {"u4": 1}


def test_idle_upstream_goes_before_partly_busy_ones(bench):
    bench.report("u1", running=1)
    bench.report("u2", running=1)
    bench.report("u3", running=1)
    bench.report("u4")
    bench.ask()
    assert bench.chosen() == {"u4": 1}


def test_full_upstreams_make_calls_wait_at_the_host(bench):
    for name in bench.rows:
        bench.report(name, running=2)
    bench.ask()
    assert bench.decisions == []
    bench.clock.advance(10.0)
    bench.report("u3", running=0)
    bench.router.serve(SERVICE)
    assert bench.chosen() == {"u3": 1}


def test_call_waits_for_a_bounded_time_when_all_free_upstreams_are_slow(bench):
    for name in bench.rows:
        bench.report(name, slowdown=4.0)
    # 180 ms to spare: a third of them is 59 ms.
    bench.ask(objective_ms=bench.clock.now_ms() + bench.estimator.work_ms("") + 180.0)
    assert bench.decisions == []
    bench.clock.advance(61.0)
    bench.router.serve(SERVICE)
    assert sum(bench.chosen().values()) == 1


def test_call_that_finds_nothing_is_refused_before_its_deadline(bench):
    for name in bench.rows:
        bench.report(name, running=2)
    bench.ask(deadline_ms=bench.clock.now_ms() + 200.0)
    bench.clock.advance(200.0)
    bench.router.tick()
    assert isinstance(bench.decisions[0], Refusal)
    assert bench.decisions[0].error.retry_after_ms > 0


def test_call_of_higher_priority_goes_first(bench):
    for name in bench.rows:
        bench.report(name, running=2)
    bench.ask(request_id="late", priority=2)
    bench.ask(request_id="urgent", priority=1)
    bench.clock.advance(1.0)
    bench.report("u1")
    bench.router.serve(SERVICE)
    assert [item.call.request_id for item in bench.decisions] == ["urgent"]


def ask_late_beside_running_requests(bench):
    for name in bench.rows:
        bench.report(name, running=1)
    now_ms = bench.clock.now_ms()
    bench.ask(request_id="late", objective_ms=now_ms - 1.0)
    bench.ask(request_id="in time", objective_ms=now_ms + WORK_MS + 1.0)
    bench.clock.advance(1.0)
    bench.router.serve(SERVICE)
    return [item.call.request_id for item in bench.decisions]


def test_late_call_does_not_bring_an_upstream_under_high_load(bench):
    bench.chooser._cfg = PlacementSettings(late_requests_yield=True)
    assert ask_late_beside_running_requests(bench) == ["in time"]
    bench.report(min(bench.rows), running=0)
    bench.router.serve(SERVICE)
    assert len(bench.decisions) == 2


def test_late_call_takes_any_slot_unless_late_requests_yield(bench):
    assert ask_late_beside_running_requests(bench) == ["late", "in time"]


def test_isolated_call_needs_an_empty_upstream(bench):
    for name in bench.rows:
        bench.report(name, running=1)
    bench.ask(isolated=True)
    assert bench.decisions == []
    bench.clock.advance(1.0)
    bench.report("u2")
    bench.router.serve(SERVICE)
    assert bench.chosen() == {"u2": 1}


def test_large_responses_stay_in_their_zone(bench):
    for row in bench.rows.values():
        row.zone = "cusco"
    bench.rows["u2"].zone = "puno"
    for name in bench.rows:
        bench.report(name)
    for _ in range(2):
        bench.ask(response_bytes=90_000.0)
    assert bench.chosen() == {"u2": 2}


def test_listener_is_notified_of_start_and_end(bench):
    bench.report("u1")
    bench.ask()
    grant = bench.decisions[0]
    assert bench.listener.started == [(grant.upstream.name, grant.token)]
    report = Report(result=Result.OK, latency_ms=5.0, first_byte_ms=5.0)
    bench.router.release(grant, report)
    assert bench.listener.ended == bench.listener.started
    assert grant.upstream.load.occupancy() == 0


def test_old_reports_have_less_weight(bench):
    bench.report("u1", slowdown=4.0)
    bench.report("u2", slowdown=1.0)
    slow, fast = bench.rows["u1"], bench.rows["u2"]
    now_ms = bench.clock.now_ms()
    young_ms = bench.estimator.finish_ms(slow, 100.0, now_ms)
    old_ms = bench.estimator.finish_ms(slow, 100.0, now_ms + 5_000.0)
    assert young_ms > 390.0
    assert abs(old_ms - bench.estimator.finish_ms(fast, 100.0, now_ms + 5_000.0)) < 1.0


def test_call_is_refused_once_it_could_not_end_before_its_deadline(bench):
    for name in bench.rows:
        bench.report(name, running=2)
    typical_ms = bench.estimator.work_ms("")
    # Half of a longer deadline would end before that.
    bench.ask(deadline_ms=bench.clock.now_ms() + 180.0)
    bench.clock.advance(180.0 - typical_ms - 1.0)
    bench.router.tick()
    assert bench.decisions == []
    bench.clock.advance(2.0)
    bench.router.tick()
    assert isinstance(bench.decisions[0], Refusal)


class FullSite:
    """
    Upstreams whose requests take 1.7 times as long once over 0.8 of the slots run.

    Calls arrive evenly, all upstreams report after each change, and the time in which a
    request ends follows the number of requests beside it.
    """

    def __init__(self, bench, *, slots, load):
        self.bench = bench
        self.slots = slots
        self.running = {name: {} for name in bench.rows}
        self.interval_ms = WORK_MS / load / len(bench.rows) / slots
        self.in_time = self.asked = 0

    def run(self, span_ms):
        bench = self.bench
        due_ms = bench.clock.now_ms()
        end_ms = due_ms + span_ms
        while bench.clock.now_ms() < end_ms:
            if bench.clock.now_ms() >= due_ms:
                due_ms += self.interval_ms
                self.ask()
            self.work()
            self.report()
            bench.router.tick()
            bench.router.serve(SERVICE)
            bench.clock.advance(1.0)
        return self.in_time / self.asked

    def ask(self):
        bench = self.bench
        self.asked += 1
        now_ms = bench.clock.now_ms()
        call = Call(
            request_id=f"r{self.asked}",
            service=SERVICE,
            arrived_ms=now_ms,
            deadline_ms=now_ms + 1_000.0,
            objective_ms=now_ms + OBJECTIVE_MS,
            idempotent=True,
        )
        bench.router.request(call, self.begin)

    def begin(self, decision):
        if isinstance(decision, Grant):
            name = decision.upstream.name
            self.running[name][decision.token] = [decision, WORK_MS]

    def work(self):
        now_ms = self.bench.clock.now_ms()
        for running in self.running.values():
            slowdown = 1.7 if len(running) > 0.8 * self.slots else 1.0
            for token, item in list(running.items()):
                item[1] -= 1.0 / slowdown
                if item[1] <= 0.0:
                    del running[token]
                    self.in_time += now_ms <= item[0].call.objective_ms
                    report = Report(result=Result.OK, latency_ms=1.0)
                    self.bench.router.release(item[0], report)

    def report(self):
        now_ms = self.bench.clock.now_ms()
        for name, running in self.running.items():
            load = UpstreamLoad(running=len(running), waiting=0, slots=self.slots)
            self.bench.estimator.observe(
                self.bench.rows[name], load, measured_ms=now_ms, seen_ms=now_ms
            )


def test_slots_that_lower_the_throughput_stay_empty_under_overload(bench):
    assert FullSite(bench, slots=3, load=0.72).run(4_000.0) >= 0.8
    assert all(row.load.occupancy() <= 2 for row in bench.rows.values())


def test_slots_that_raise_the_throughput_are_used(bench):
    settings = PlacementSettings()
    useful = {slots: settings.useful_slots(slots) for slots in (1, 2, 3, 4, 5, 10)}
    assert useful == {1: 1, 2: 2, 3: 2, 4: 3, 5: 4, 10: 8}


def test_time_for_a_faster_upstream_follows_what_a_call_can_spare(bench):
    for name in bench.rows:
        bench.report(name, slowdown=4.0)
    now_ms = bench.clock.now_ms()
    bench.ask(objective_ms=now_ms + 100.0 + 30.0)
    bench.ask(objective_ms=now_ms + 100.0 + 600.0)
    bench.clock.advance(30.0)
    bench.router.serve(SERVICE)
    assert [item.call.request_id for item in bench.decisions] == ["r0"]
    bench.clock.advance(180.0)
    bench.router.serve(SERVICE)
    assert len(bench.decisions) == 2
