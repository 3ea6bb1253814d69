"""The interface of timeline renderers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from mangohatch.timeline.event import Event

__all__ = ["Renderer", "Timeline"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Timeline:
    """
    Merged events, and the limits of their accuracy and completeness.

    ``offsets_ms`` maps a host to the lower and upper bound of its clock minus the
    clock of the host that merged the events, in milliseconds. ``silent_hosts`` did
    not answer, so their events are missing.
    """

    events: Sequence[Event]
    offsets_ms: dict[str, tuple[float, float]] = field(default_factory=dict)
    silent_hosts: Sequence[str] = ()


class Renderer(ABC):
    """Renders a timeline as a document of one content type."""

    content_type: str

    @abstractmethod
    def render(self, timeline: Timeline) -> str:
        """
        Render a timeline.

        :param timeline: the timeline
        :return: the document
        """
