"""Messages that spread the directory."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = [
    "DirectoryMark",
    "DirectoryMarks",
    "DirectoryPiece",
    "DirectoryPull",
]


@message
class DirectoryMark:
    """
    Version mark of one part of the directory, as held by a host.

    A part holds all objects of one kind. ``revision`` is the revision of the store
    when the part was read, ``digest`` is a hash of the content, and ``age_ms`` is the
    time since the content was known to be current. ``reading`` is a random number that
    identifies the reading, so that a mark that arrives late does not make it younger.
    ``origin`` is the number of the process that made it, ordered as the hosts that read
    the store are ranked and random in its last bits, 0 if that is not known;
    ``origin_ms`` is the time at which it began, on the monotonic clock of that host.
    """

    part: str = ""
    revision: int = 0
    digest: int = 0
    age_ms: int = 0
    reading: int = 0
    origin: int = 0
    origin_ms: int = 0


@message
class DirectoryMarks:
    """
    Marks of all parts of a host.

    ``exchange`` asks for the receiver's marks, and ``answer`` marks the response.
    """

    marks: list[DirectoryMark] = field(default_factory=list)
    exchange: bool = False
    answer: bool = False


@message
class DirectoryPull:
    """
    Requests a part of the directory.

    ``digest`` is that of the copy of the requesting host, 0 to request a full copy.
    If ``payload`` is not 0, only the pieces ``missing`` of that payload are needed.
    """

    part: str = ""
    digest: int = 0
    payload: int = 0
    missing: list[int] = field(default_factory=list)


@message
class DirectoryPiece:
    """
    One of ``count`` pieces of a payload, numbered from 0.

    The payload leads from the content with digest ``base``, 0 for none, to that of
    ``mark``; ``payload`` is the digest of its bytes.
    """

    mark: DirectoryMark = field(default_factory=DirectoryMark)
    base: int = 0
    payload: int = 0
    number: int = 0
    count: int = 1
    data: bytes = b""
