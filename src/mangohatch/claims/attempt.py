"""One attempt of a keyed request, as this host knows it."""

from dataclasses import dataclass

from mangohatch.claims.record import ClaimRecord

__all__ = ["Attempt"]


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to run the request of a key, from its claim to its result."""

    name: str
    record: ClaimRecord
    deadline_ms: float

    @property
    def operation_id(self) -> str:
        """Id of the write that claims the key."""
        return f"{self.record.attempt}:claim"
