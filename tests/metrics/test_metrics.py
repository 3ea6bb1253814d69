"""Tests of counters, latency windows and their exposition."""

from prometheus_client.parser import text_string_to_metric_families

from mangohatch.errors import Outcome
from mangohatch.metrics import LatencyWindow, Metrics, Sample, SampleKind
from mangohatch.metrics.exposition import Exposition
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

TIMES = {"total_ms": 12.0, "upstream_ms": 10.0}


@fixture
def metrics(clock):
    return Metrics(clock=clock)


def scrape(metrics):
    text = Exposition(metrics=metrics).render().decode()
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_requests_are_counted_by_outcome_and_code(metrics):
    service = metrics.service("desk")
    service.record_request(Outcome.DONE, **TIMES)
    service.record_request(Outcome.NOT_RUN, code="overloaded", **TIMES)
    service.record_retry()
    samples = scrape(metrics)
    labels = (("code", "overloaded"), ("outcome", "not_run"), ("service", "desk"))
    assert samples["mangohatch_requests_total", *labels] == 1
    assert samples["mangohatch_retries_total", ("service", "desk")] == 1


def test_refusals_do_not_count_as_upstream_latency(metrics):
    service = metrics.service("desk")
    service.record_request(Outcome.DONE, **TIMES)
    service.record_request(Outcome.NOT_RUN, code="overloaded", **TIMES)
    samples = scrape(metrics)
    assert samples["mangohatch_total_seconds_count", ("service", "desk")] == 2
    assert samples["mangohatch_upstream_seconds_count", ("service", "desk")] == 1


def test_quantiles_lie_within_the_precision_of_the_histogram(clock):
    window = LatencyWindow(now_ms=clock.now_ms())
    for number in range(1, 10_001):
        window.record(number / 10)
    quantiles = window.quantiles_ms((0.5, 0.99))
    assert abs(quantiles[0.5] - 500.0) <= 5.0
    assert abs(quantiles[0.99] - 990.0) <= 9.9
    assert window.count == 10_000
    assert abs(window.sum_ms - 5_000_500.0) < 1.0


def test_latencies_expire_from_the_quantiles_after_two_windows(clock):
    window = LatencyWindow(now_ms=clock.now_ms())
    window.record(900.0)
    for expected_ms in (900.0, 0.0):
        clock.advance(30_000)
        window.flush(clock.now_ms())
        assert abs(window.quantiles_ms((0.99,))[0.99] - expected_ms) <= 9.0
    assert window.count == 1


def test_latency_beyond_the_range_is_counted_at_its_bound(clock):
    window = LatencyWindow(now_ms=clock.now_ms())
    window.record(1e9)
    window.record(0.0)
    assert window.count == 2
    assert window.quantiles_ms((1.0,))[1.0] >= 3_590_000.0


def test_samples_of_sources_are_exposed(metrics):
    metrics.add_source(
        lambda: [
            Sample(
                name="mangohatch_measuring_calls",
                help="Measuring calls.",
                kind=SampleKind.COUNTER,
                value=7,
                labels=(("service", name),),
            )
            for name in ("desk", "vault")
        ]
    )
    samples = scrape(metrics)
    assert samples["mangohatch_measuring_calls_total", ("service", "vault")] == 7


def test_tick_loses_no_buffered_latency(metrics, clock):
    service = metrics.service("desk")
    for _ in range(5):
        service.record_request(Outcome.DONE, **TIMES)
        clock.advance(60)
        metrics.tick()
    assert service.total.count == 5
    assert service.total.sum_ms == 60.0
