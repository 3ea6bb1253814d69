"""Tests of the circuit breaker for calls to the store."""

from mangohatch.claims.breaker import StoreBreaker
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def breaker(clock, rng):
    return StoreBreaker(clock=clock, rng=rng)


def test_one_probe_at_a_time_after_a_failure(breaker, clock):
    assert breaker.admit() and breaker.admit()
    breaker.record_failure()
    assert not breaker.admit()
    clock.advance(250.0)
    assert breaker.admit()
    assert not breaker.admit()
    breaker.record_success()
    assert breaker.admit() and breaker.admit()


def test_probe_interval_grows_with_each_failure(breaker, clock):
    breaker.record_failure()
    probes = 0
    for _ in range(6000):
        clock.advance(10.0)
        if breaker.admit():
            probes += 1
            breaker.record_failure()
    assert 60_000 / 5000 <= probes <= 30


def test_late_failures_of_admitted_calls_do_not_extend_the_backoff(breaker, clock):
    for _ in range(100):
        breaker.record_failure()
    clock.advance(250.0)
    assert breaker.admit()


def test_probe_without_result_admits_another_probe(breaker, clock):
    breaker.record_failure()
    clock.advance(250.0)
    assert breaker.admit()
    breaker.record_no_result()
    assert breaker.admit()
