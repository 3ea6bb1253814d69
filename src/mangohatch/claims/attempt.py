"""Attempt of a keyed request, held in the memory of this host."""

from dataclasses import dataclass

from mangohatch.claims.record import ClaimRecord

__all__ = ["Attempt"]


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to run the request of a key, from the claim to the result."""

    name: str
    record: ClaimRecord
    deadline_ms: float

    @property
    def operation_id(self) -> str:
        """Operation id of the write that claims the key."""
        return f"{self.record.attempt}:claim"
