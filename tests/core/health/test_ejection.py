"""Tests of ejection, probation, panic and slow start."""

from mangohatch.core.call import Call, Report, Result
from mangohatch.core.health import HealthListener, HealthSettings, OutlierHealth
from mangohatch.core.tables import Tables
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
UPSTREAMS = 10
STEP_MS = 10.0
OK = Report(result=Result.OK, latency_ms=10.0)
SLOW = Report(result=Result.OK, latency_ms=100.0)
SHARED = Report(result=Result.OK, latency_ms=40.0)
ERROR = Report(result=Result.ERROR, latency_ms=0.5)


class RecordingListener(HealthListener):
    """Records the changes that it is notified of."""

    def __init__(self):
        self.lines = []

    def on_ejected(self, row, *, duration_ms, cause):
        self.lines.append(("ejected", row.name, cause))

    def on_returned(self, row):
        self.lines.append(("returned", row.name))

    def on_draining(self, upstream):
        self.lines.append(("leaving", upstream.name))

    def on_replaced(self, upstream):
        self.lines.append(("replaced", upstream.name))


@fixture
def notes():
    return RecordingListener()


@fixture
def rows():
    tables = Tables()
    tables.apply(make_service(SERVICE, upstreams=UPSTREAMS), revision=1)
    return list(tables.services[SERVICE].upstreams.values())


@fixture
def health(clock, rng, notes, rows):
    made = OutlierHealth(clock=clock, rng=rng, listener=notes)
    for row in rows:
        made.observe(row, OK, "entry-1")
    return made


def make_call(*, idempotent=True):
    return Call(
        request_id="r",
        service=SERVICE,
        arrived_ms=0.0,
        deadline_ms=1e9,
        idempotent=idempotent,
    )


def run(health, clock, rows, *, reports, for_ms):
    until_ms = clock.now_ms() + for_ms
    while clock.now_ms() < until_ms:
        clock.advance(STEP_MS)
        health.tick()
        for row in rows:
            if health.eligible(row, make_call()):
                health.observe(row, reports.get(row.name, OK), "entry-1")


def test_fast_failer_is_ejected_after_three_failures(health, rows, notes):
    for _ in range(2):
        health.observe(rows[0], ERROR, "entry-1")
    assert health.eligible(rows[0], make_call())
    health.observe(rows[0], ERROR, "entry-2")
    assert not health.eligible(rows[0], make_call())
    assert notes.lines == [("ejected", "u1", "3 consecutive failures")]


def test_fast_failer_gets_at_most_one_percent_after_the_first_second(
    health, rows, clock
):
    touched = 0
    total = 0
    for step in range(6_000):
        clock.advance(STEP_MS)
        health.tick()
        for row in rows:
            if not health.eligible(row, make_call()):
                continue
            failing = row.name == "u1"
            health.observe(row, ERROR if failing else OK, "entry-1")
            if clock.now_ms() > 1_000.0:
                total += 1
                touched += failing
    assert 0 < touched <= total / 100


def test_refusals_and_cancellations_are_no_evidence(health, rows):
    for result in (Result.REFUSED, Result.CANCELLED):
        for _ in range(20):
            health.observe(rows[0], Report(result=result, latency_ms=1.0), "entry-1")
    assert health.eligible(rows[0], make_call())


def test_lasting_slowness_ejects(health, rows, clock, notes):
    run(health, clock, rows, reports={"u1": SLOW}, for_ms=5_000.0)
    assert notes.lines[0][:2] == ("ejected", "u1")


def test_short_slowness_of_a_noisy_neighbour_does_not_eject(health, rows, clock, notes):
    for _ in range(40):
        run(health, clock, rows, reports={"u1": SHARED}, for_ms=50.0)
        run(health, clock, rows, reports={}, for_ms=50.0)
    assert notes.lines == []


def test_latency_between_the_thresholds_does_not_oscillate(health, rows, clock, notes):
    between = Report(result=Result.OK, latency_ms=30.0)
    run(health, clock, rows, reports={"u1": between}, for_ms=20_000.0)
    assert notes.lines == []


def test_panic_makes_all_upstreams_eligible_when_most_fail(health, rows):
    for row in rows[:6]:
        for _ in range(3):
            health.observe(row, ERROR, "entry-1")
    assert health.is_panicking(SERVICE)
    assert all(health.eligible(row, make_call()) for row in rows)


def test_panic_counts_only_the_upstreams_that_the_host_uses(health, rows):
    unused = frozenset(row.name for row in rows[3:])
    health.set_unused(SERVICE, unused)
    for row in rows[:2]:
        for _ in range(3):
            health.observe(row, ERROR, "entry-1")
    assert health.is_panicking(SERVICE)
    health.set_unused(SERVICE, frozenset())
    assert not health.is_panicking(SERVICE)


def test_probation_takes_single_idempotent_requests_and_returns_with_a_ramp(
    health, rows, clock, notes
):
    for _ in range(3):
        health.observe(rows[0], ERROR, "entry-1")
    clock.advance(1_500.0)
    health.tick()
    assert not health.eligible(rows[0], make_call(idempotent=False))
    rows[0].in_flight = 1
    assert not health.eligible(rows[0], make_call())
    rows[0].in_flight = 0
    for _ in range(3):
        assert health.eligible(rows[0], make_call())
        health.observe(rows[0], OK, "entry-1")
    assert notes.lines[-1] == ("returned", "u1")
    ramp = HealthSettings()
    assert health.capacity(rows[0]) == ramp.ramp_floor
    clock.advance(ramp.ramp_ms / 2)
    assert health.capacity(rows[0]) == 0.5
    clock.advance(ramp.ramp_ms / 2)
    assert health.capacity(rows[0]) == 1.0


def test_failure_on_probation_doubles_the_ejection(health, rows, clock):
    for _ in range(3):
        health.observe(rows[0], ERROR, "entry-1")
    clock.advance(1_200.0)
    health.tick()
    health.observe(rows[0], ERROR, "entry-1")
    clock.advance(1_500.0)
    health.tick()
    assert not health.eligible(rows[0], make_call())
    clock.advance(1_000.0)
    health.tick()
    assert health.eligible(rows[0], make_call())


def test_advice_of_a_peer_alone_does_not_eject(health, rows, clock):
    health.advise(rows[0], ttl_ms=1_000.0)
    assert health.eligible(rows[0], make_call())
    health.observe(rows[0], ERROR, "entry-1")
    assert not health.eligible(rows[0], make_call())


def test_upstream_at_a_new_address_starts_fresh_with_a_ramp(health, rows):
    for _ in range(3):
        health.observe(rows[0], ERROR, "entry-1")
    rows[0].port += 1_000
    assert health.eligible(rows[0], make_call())
    assert health.capacity(rows[0]) == HealthSettings().ramp_floor
