"""Client of the platform: object API and host list."""

from mangohatch.platform.operations import holds_operation, put_resolved, with_operation
from mangohatch.platform.store import Listing, ObjectStore, StoredObject, WatchEvent

__all__ = [
    "Listing",
    "ObjectStore",
    "StoredObject",
    "WatchEvent",
    "holds_operation",
    "put_resolved",
    "with_operation",
]
