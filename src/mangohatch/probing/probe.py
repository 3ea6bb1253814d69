"""The interface through which the load of an upstream is asked for."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.core.load import UpstreamLoad
from mangohatch.core.tables import UpstreamRow

__all__ = ["LoadProbe", "ProbeResult"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeResult:
    """
    What one probe showed.

    ``load`` is None when the upstream gave no answer; it was made after
    ``measured_ms``, when the question left. ``instance`` is the id under
    which it answered, empty when it gave none.
    """

    load: UpstreamLoad | None
    measured_ms: float
    instance: str = ""


class LoadProbe(ABC):
    """Asks upstreams for their load, one question at a time each."""

    @abstractmethod
    def send(self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]):
        """
        Ask an upstream.

        :param row: the upstream
        :param path: path of the question
        :param done: takes the result, exactly once
        """

    @abstractmethod
    def retain(self, rows: list[UpstreamRow]) -> None:
        """
        Close what is open to other upstreams.

        :param rows: upstreams that will be asked again
        """
