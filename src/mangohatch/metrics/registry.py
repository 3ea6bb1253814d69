"""All metrics of one host."""

from collections import Counter
from collections.abc import Callable, Iterable

from mangohatch.clock import Clock
from mangohatch.errors import Outcome
from mangohatch.metrics.latency import LatencyWindow
from mangohatch.metrics.sample import Sample

__all__ = ["Metrics", "ServiceMetrics"]

DONE_CODE = "ok"
FLUSH_INTERVAL_MS = 100.0

SampleSource = Callable[[], Iterable[Sample]]


class ServiceMetrics:
    """Metrics of one service; recording is cheap enough for the request path."""

    def __init__(self, *, now_ms: float) -> None:
        self.total = LatencyWindow(now_ms=now_ms)
        self.upstream = LatencyWindow(now_ms=now_ms)
        self.added = LatencyWindow(now_ms=now_ms)
        self.requests: Counter[tuple[Outcome, str]] = Counter()
        self.retries = 0

    def record_request(
        self,
        outcome: Outcome,
        *,
        code: str = DONE_CODE,
        total_ms: float,
        upstream_ms: float,
    ) -> None:
        """
        Record a request that has ended.

        Only requests that were done count towards the upstream and added latency.

        :param outcome: outcome reported to the caller
        :param code: code of the error, if any
        :param total_ms: milliseconds from the arrival of the request to the end of
            its response
        :param upstream_ms: part of ``total_ms`` between sending to an upstream and
            the end of that upstream's response, over all attempts
        """
        self.requests[outcome, code] += 1
        self.total.record(total_ms)
        if outcome is Outcome.DONE:
            self.upstream.record(upstream_ms)
            self.added.record(total_ms - upstream_ms)

    def record_retry(self) -> None:
        """Count an attempt after the first one of a request."""
        self.retries += 1

    def flush(self, now_ms: float) -> None:
        """
        Move buffered latencies into the histograms.

        :param now_ms: monotonic time in milliseconds
        """
        for window in (self.total, self.upstream, self.added):
            window.flush(now_ms)


class Metrics:
    """
    Metrics by service, and sources of further samples.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self.services: dict[str, ServiceMetrics] = {}
        self._clock = clock
        self._flushed_ms = clock.now_ms()
        self._sources: list[SampleSource] = []

    def service(self, name: str) -> ServiceMetrics:
        """
        Return the metrics of a service, and create them on first use.

        :param name: name of the service
        :return: metrics of the service
        """
        found = self.services.get(name)
        if found is None:
            found = ServiceMetrics(now_ms=self._clock.now_ms())
            self.services[name] = found
        return found

    def remove(self, name: str) -> None:
        """
        Remove the metrics of a service that no longer exists.

        :param name: name of the service
        """
        self.services.pop(name, None)

    def add_source(self, source: SampleSource) -> None:
        """
        Add a source that is read at each scrape.

        :param source: returns the current samples
        """
        self._sources.append(source)

    def samples(self) -> Iterable[Sample]:
        """
        Read all sources.

        :return: samples of all sources
        """
        for source in self._sources:
            yield from source()

    def tick(self) -> None:
        """Move buffered latencies into the histograms at a fixed minimum interval."""
        now_ms = self._clock.now_ms()
        if now_ms - self._flushed_ms < FLUSH_INTERVAL_MS:
            return
        self._flushed_ms = now_ms
        for service in self.services.values():
            service.flush(now_ms)
