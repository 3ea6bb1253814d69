"""At-most-once execution of keyed non-idempotent requests."""

from mangohatch.claims.registry import Answer, ClaimRegistry, ClaimTicket
from mangohatch.claims.store_registry import StoreClaimRegistry

__all__ = ["Answer", "ClaimRegistry", "ClaimTicket", "StoreClaimRegistry"]
