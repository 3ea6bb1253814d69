"""Signs of life, and the directory that they announce."""

from dataclasses import field

from mangohatch.peer.messages.config import ConfigItem
from mangohatch.peer.messages.kinds import message

__all__ = ["Beacon", "DirectoryMark", "DirectoryPiece", "DirectoryPull"]


@message
class DirectoryMark:
    """
    A part of the directory as a host knows it.

    ``revision`` is the store's at the reading, ``digest`` stands for the content, and
    ``age_ms`` is the time since the reading was true.
    """

    part: str = ""
    revision: int = 0
    digest: int = 0
    age_ms: int = 0


@message
class Beacon:
    """A host is alive; ``peers`` are addresses of some others."""

    zone: str = ""
    leaving: bool = False
    peers: list[str] = field(default_factory=list)
    marks: list[DirectoryMark] = field(default_factory=list)


@message
class DirectoryPull:
    """A request for a part of the directory, all of it."""

    part: str = ""


@message
class DirectoryPiece:
    """One of ``count`` pieces of a part of the directory, numbered from 0."""

    mark: DirectoryMark = field(default_factory=DirectoryMark)
    number: int = 0
    count: int = 1
    items: list[ConfigItem] = field(default_factory=list)
