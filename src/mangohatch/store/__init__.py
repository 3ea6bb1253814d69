"""Clients of the object API and of the host list."""

from mangohatch.store.base import (
    Listing,
    ObjectReader,
    ObjectStore,
    StoredObject,
    WatchEvent,
)
from mangohatch.store.operations import holds_operation, put_resolved, with_operation

__all__ = [
    "Listing",
    "ObjectReader",
    "ObjectStore",
    "StoredObject",
    "WatchEvent",
    "holds_operation",
    "put_resolved",
    "with_operation",
]
