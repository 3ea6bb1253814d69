"""Interface for load probes of upstreams."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.core.load import UpstreamLoad
from mangohatch.core.tables import UpstreamRow

__all__ = ["LoadProbe", "ProbeResult"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeResult:
    """
    The result of one load probe.

    ``load`` is None when the upstream sent no usable response. ``measured_ms`` is the
    monotonic time at which the probe was sent; the upstream made its report later.
    ``instance`` is the instance id in the response, empty when it contains none.
    ``refused`` is whether the upstream accepted no connection, and ``leaving`` whether
    its response says that it leaves. ``cold_ms`` is
    the time for which the upstream says that it remains cold, None if it says nothing.
    """

    load: UpstreamLoad | None
    measured_ms: float
    instance: str = ""
    refused: bool = False
    leaving: bool = False
    cold_ms: float | None = None


class LoadProbe(ABC):
    """
    Sends load probes to upstreams, at most one at a time to each.

    ``connections`` counts the connections opened so far.
    """

    connections = 0

    @abstractmethod
    def send(self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]):
        """
        Send a load probe to an upstream.

        :param row: the upstream
        :param path: path of the probe request
        :param done: called exactly once, with the result
        """

    @abstractmethod
    def retain(self, rows: list[UpstreamRow]) -> None:
        """
        Close the connections to all other upstreams.

        :param rows: upstreams that will be probed again
        """

    async def close(self) -> None:
        """Close all connections, and end probes in progress without a result."""
        self.retain([])
