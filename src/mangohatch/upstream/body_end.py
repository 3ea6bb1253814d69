"""How the body of a response ended."""

from enum import Enum

__all__ = ["BodyEnd"]


class BodyEnd(Enum):
    """How the body of a response ended, and whether all of it has arrived."""

    LENGTH = "as long as announced"
    LAST_CHUNK = "ended by the last chunk"
    CLOSED = "ended by an orderly close of the upstream"
    BROKEN = "cut by the loss of the connection"
    GIVEN_UP = "given up by this host"
    MALFORMED = "malformed"

    @property
    def is_whole(self) -> bool:
        """Whether a caller may take the body for that of the upstream."""
        return self in (BodyEnd.LENGTH, BodyEnd.LAST_CHUNK, BodyEnd.CLOSED)
