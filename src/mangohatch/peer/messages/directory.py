"""Beacons, which are heartbeats between hosts, and the directory they announce."""

from dataclasses import field

from mangohatch.peer.messages.config import ConfigItem
from mangohatch.peer.messages.kinds import message

__all__ = ["Beacon", "DirectoryMark", "DirectoryPiece", "DirectoryPull"]


@message
class DirectoryMark:
    """
    Version mark of one part of the directory, as held by a host.

    A part holds all objects of one kind. ``revision`` is the revision of the store
    when the part was read, ``digest`` is a hash of the content, and ``age_ms`` is the
    time since the content was known to be current.
    """

    part: str = ""
    revision: int = 0
    digest: int = 0
    age_ms: int = 0


@message
class Beacon:
    """Heartbeat of a host; ``peers`` holds the addresses of some other hosts."""

    zone: str = ""
    leaving: bool = False
    peers: list[str] = field(default_factory=list)
    marks: list[DirectoryMark] = field(default_factory=list)


@message
class DirectoryPull:
    """Requests a whole part of the directory."""

    part: str = ""


@message
class DirectoryPiece:
    """One of ``count`` pieces of a part of the directory, numbered from 0."""

    mark: DirectoryMark = field(default_factory=DirectoryMark)
    number: int = 0
    count: int = 1
    items: list[ConfigItem] = field(default_factory=list)
