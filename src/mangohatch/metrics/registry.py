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
    """Metrics of one service; each method is cheap enough for the request path."""

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
        Record a request that ended.

        :param outcome: what the caller was told
        :param code: code of the error, if any
        :param total_ms: from its arrival to the end of its response
        :param upstream_ms: part of it spent between sending to an upstream and the
            end of that upstream's response, over all attempts
        """
        self.requests[outcome, code] += 1
        self.total.record(total_ms)
        if outcome is Outcome.DONE:
            self.upstream.record(upstream_ms)
            self.added.record(total_ms - upstream_ms)

    def record_retry(self) -> None:
        """Count an attempt beyond a request's first."""
        self.retries += 1

    def flush(self, now_ms: float) -> None:
        """
        Move waiting values into the histograms.

        :param now_ms: monotonic time
        """
        for window in (self.total, self.upstream, self.added):
            window.flush(now_ms)


class Metrics:
    """
    Metrics by service, and values that other parts contribute.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self.services: dict[str, ServiceMetrics] = {}
        self._clock = clock
        self._flushed_ms = clock.now_ms()
        self._sources: list[SampleSource] = []

    def service(self, name: str) -> ServiceMetrics:
        """
        Find the metrics of a service.

        :param name: name of the service
        :return: its metrics, new ones when there were none
        """
        found = self.services.get(name)
        if found is None:
            found = ServiceMetrics(now_ms=self._clock.now_ms())
            self.services[name] = found
        return found

    def remove(self, name: str) -> None:
        """
        Drop the metrics of a service that is gone.

        :param name: name of the service
        """
        self.services.pop(name, None)

    def add_source(self, source: SampleSource) -> None:
        """
        Have a part asked for samples at each scrape.

        :param source: gives the samples
        """
        self._sources.append(source)

    def samples(self) -> Iterable[Sample]:
        """
        Ask all sources.

        :return: their samples
        """
        for source in self._sources:
            yield from source()

    def tick(self) -> None:
        """Move waiting values into the histograms; called each tick."""
        now_ms = self._clock.now_ms()
        if now_ms - self._flushed_ms < FLUSH_INTERVAL_MS:
            return
        self._flushed_ms = now_ms
        for service in self.services.values():
            service.flush(now_ms)
