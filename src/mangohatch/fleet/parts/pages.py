"""Pages for the balancer and for scrapes of metrics."""

from collections.abc import Callable

from mangohatch.fleet.components import FleetComponents
from mangohatch.fleet.part import HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.fleet.text_server import TextResponse, TextServer
from mangohatch.metrics import Metrics

__all__ = ["TextPages"]

READY = 200
NOT_READY = 503


class TextPages(HostPart):
    """
    Serves the readiness check and the metrics.

    :param cfg: validated settings
    :param components: paths of the pages
    :param metrics: metrics of the host
    :param get_reason: returns why the host is not ready, None if it is
    """

    name = "metrics"

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        components: FleetComponents,
        metrics: Metrics,
        get_reason: Callable[[], str | None],
    ) -> None:
        self._cfg = cfg
        self._all_metrics = metrics
        self._get_reason = get_reason
        self._readiness = TextServer(
            pages={components.readiness_path: self._answer_readiness}
        )
        self._metrics = TextServer(
            pages={components.metrics_path: self._render_metrics}
        )

    def _answer_readiness(self) -> TextResponse:
        reason = self._get_reason()
        return (READY, "ready\n") if reason is None else (NOT_READY, f"{reason}\n")

    def _render_metrics(self) -> TextResponse:
        # Imported here because only a scrape needs the exposition library.
        from mangohatch.metrics.exposition import Exposition

        return READY, Exposition(metrics=self._all_metrics).render().decode()

    async def start(self) -> None:
        self._readiness.listen(*self._cfg.readiness)
        self._metrics.listen(*self._cfg.metrics)

    async def stop(self) -> None:
        self._readiness.stop()
        self._metrics.stop()

    def tick(self) -> None:
        self._all_metrics.tick()
