"""The interface of renderers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from mangohatch.timeline.event import Event

__all__ = ["Renderer", "Timeline"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Timeline:
    """
    Merged events with what is needed to judge them.

    ``offsets_ms`` gives by host the bounds of its clock offset to the host
    that merged; ``silent_hosts`` did not answer.
    """

    events: Sequence[Event]
    offsets_ms: dict[str, tuple[float, float]] = field(default_factory=dict)
    silent_hosts: Sequence[str] = ()


class Renderer(ABC):
    """Turns a time line into a document."""

    content_type: str

    @abstractmethod
    def render(self, timeline: Timeline) -> str:
        """
        Render a time line.

        :param timeline: merged events
        :return: the document
        """
