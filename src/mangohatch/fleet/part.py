"""Interface of the parts that make up a fleet host."""

from abc import ABC
from collections.abc import Iterable, Iterator

from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, make_counter

__all__ = ["Counter", "HostPart"]

# Name without the prefix of the program, description, current value.
Counter = tuple[str, str, float]


class HostPart(ABC):
    """
    One capability of a host, with its state, its metrics and its life cycle.

    The host starts its parts in order, runs their :meth:`tick` in order, and stops them
    in reverse order. ``name`` identifies the part in the log.
    """

    name = ""

    def counters(self) -> Iterable[Counter]:
        """
        List the counters of the part.

        :return: names without prefix, descriptions and values
        """
        return ()

    def samples(self) -> Iterator[Sample]:
        """
        Read the metrics of the part.

        :return: samples for a scrape
        """
        for name, description, value in self.counters():
            yield make_counter(f"mangohatch_{name}", description, value)

    def not_ready(self) -> str | None:
        """
        Return why the balancer should not send callers to this host.

        :return: the reason, None if this part is ready
        """
        return None

    async def start(self) -> None:  # noqa: B027
        """Start listening."""

    async def stop(self) -> None:  # noqa: B027
        """Release sockets and tasks."""

    def leave(self, *, answer_by_ms: float) -> None:  # noqa: B027
        """
        Prepare for the end of the process.

        :param answer_by_ms: time on the monotonic clock in milliseconds by which
            callers must have their responses
        """

    def drained(self) -> bool:
        """
        Return whether this part has no work in flight.

        :return: whether the process may end as far as this part is concerned
        """
        return True

    def tick(self) -> None:  # noqa: B027
        """Run the periodic work of the part."""

    def reload(self, cfg: FleetSettings) -> None:  # noqa: B027
        """
        Apply changed settings.

        :param cfg: the new settings
        """
