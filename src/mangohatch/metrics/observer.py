"""Records metrics of the requests of one host."""

from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.observer import RequestObserver
from mangohatch.errors import RequestError
from mangohatch.metrics import Metrics

__all__ = ["MetricsObserver"]


def do_nothing() -> None:
    """Ignore the start of a request; default of ``on_request_started``."""


class MetricsObserver(RequestObserver):
    """
    Records the outcome, error code and latencies of each request.

    :param clock: source of time
    :param metrics: metrics that are updated
    :param on_request_started: called when a request starts
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        on_request_started: Callable[[], None] = do_nothing,
    ) -> None:
        self._on_request_started = on_request_started
        self._clock = clock
        self._metrics = metrics

    def on_started(self, req: ActiveRequest) -> None:
        self._on_request_started()

    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        service = self._metrics.service(req.call.service)
        total_ms = self._clock.now_ms() - req.call.arrived_ms
        if error is None:
            service.record_request(
                req.sink.outcome, total_ms=total_ms, upstream_ms=req.upstream_ms
            )
        else:
            service.record_request(
                error.outcome,
                code=error.code,
                total_ms=total_ms,
                upstream_ms=req.upstream_ms,
            )

    def on_retried(self, req: ActiveRequest) -> None:
        self._metrics.service(req.call.service).record_retry()
