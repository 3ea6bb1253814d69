"""Exposes the metrics in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4
from prometheus_client.registry import Collector

from mangohatch.metrics.latency import LatencyWindow
from mangohatch.metrics.registry import Metrics
from mangohatch.metrics.sample import Sample, SampleKind

__all__ = ["CONTENT_TYPE", "Exposition"]

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MS_PER_S = 1000.0
SUMMARY_HELP = {
    "total": "Time from the arrival of a request to the end of its response.",
    "upstream": "Time from sending a request to the end of the upstream's response.",
    "added": "Time that the entry host added to a request, queueing included.",
}


class MetricsCollector(Collector):
    """Converts the metrics of a host into metric families at each scrape."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        yield self._requests()
        yield self._retries()
        for name, text in SUMMARY_HELP.items():
            yield self._latencies(name, text)
        yield from self._source_families()

    def _requests(self) -> Metric:
        family = CounterMetricFamily(
            "mangohatch_requests",
            "Requests that ended, by what the caller was told.",
            labels=("service", "outcome", "code"),
        )
        for name, service in self._metrics.services.items():
            for (outcome, code), count in service.requests.items():
                family.add_metric((name, outcome.value, code), count)
        return family

    def _retries(self) -> Metric:
        family = CounterMetricFamily(
            "mangohatch_retries",
            "Attempts beyond the first of a request.",
            labels=("service",),
        )
        for name, service in self._metrics.services.items():
            family.add_metric((name,), service.retries)
        return family

    def _latencies(self, kind: str, text: str) -> Metric:
        family = Metric(f"mangohatch_{kind}_seconds", text, "summary")
        for name, service in self._metrics.services.items():
            add_summary(family, name, getattr(service, kind))
        return family

    def _source_families(self) -> Iterator[Metric]:
        families: dict[str, Metric] = {}
        for sample in self._metrics.samples():
            family = families.get(sample.name)
            if family is None:
                family = families[sample.name] = make_family(sample)
            values = [value for _, value in sample.labels]
            family.add_metric(values, sample.value)  # type: ignore[attr-defined]
        yield from families.values()


def make_family(sample: Sample) -> Metric:
    """
    Make the metric family of a sample from a sample source.

    :param sample: the first sample with this name
    :return: an empty metric family
    """
    labels = [name for name, _ in sample.labels]
    if sample.kind is SampleKind.COUNTER:
        return CounterMetricFamily(sample.name, sample.help, labels=labels)
    return GaugeMetricFamily(sample.name, sample.help, labels=labels)


def add_summary(family: Metric, service: str, window: LatencyWindow) -> None:
    """
    Add the quantiles, count and sum of one service to a summary.

    :param family: metric family of type summary
    :param service: name of the service
    :param window: latencies of the service
    """
    labels = {"service": service}
    for level, value_ms in window.quantiles_ms(QUANTILES).items():
        quantile = labels | {"quantile": str(level)}
        family.add_sample(family.name, quantile, value_ms / MS_PER_S)
    family.add_sample(f"{family.name}_count", labels, window.count)
    family.add_sample(f"{family.name}_sum", labels, window.sum_ms / MS_PER_S)


class Exposition:
    """Renders the metrics of a host for Prometheus scrapers."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(MetricsCollector(metrics=metrics))

    def render(self) -> bytes:
        """
        Render all metrics.

        :return: text in the exposition format, with content type :data:`CONTENT_TYPE`
        """
        return generate_latest(self._registry)
