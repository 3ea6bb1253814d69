"""At-most-once execution of keyed non-idempotent requests."""

from mangohatch.claims.registry import Answer, ClaimRegistry, ClaimTicket

__all__ = ["Answer", "ClaimRegistry", "ClaimTicket"]
