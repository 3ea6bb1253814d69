"""HTTP client of the platform's store."""

import json
from typing import Any
from urllib.parse import quote

from mangohatch.errors import StoreRejected
from mangohatch.store import Listing, ObjectReader, StoredObject
from mangohatch.store.http_call import CallUnanswered, HttpCaller

__all__ = ["PlatformStore"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
OBJECTS = "/mangohatch/objects"
# The names of objects of these kinds say everything, so they need no content.
EMPTY_KINDS = frozenset({"evacuations"})
WATCH_WAIT_MS = 30_000  # the longest that the platform allows


class PlatformStore(ObjectReader):
    """
    Read-only HTTP client of the platform's store.

    :param address: IP address and port of the store
    :param timeout_ms: timeout of one call in milliseconds
    """

    def __init__(self, *, address: tuple[str, int], timeout_ms: float) -> None:
        host, port = address
        self._caller = HttpCaller(address=host, port=port, timeout_ms=timeout_ms)
        self._watcher = HttpCaller(
            address=host, port=port, timeout_ms=WATCH_WAIT_MS + timeout_ms
        )

    async def get(self, kind: str, name: str) -> StoredObject | None:
        path = f"{OBJECTS}/{quote(kind, safe='')}/{quote(name, safe='')}"
        reply = await self._caller.call("GET", path)
        if reply.status == NOT_FOUND:
            return None
        return read_object(kind, read_body(reply.status, reply.body))

    async def list(self, kind: str) -> Listing:
        path = f"{OBJECTS}/{quote(kind, safe='')}"
        items: list[StoredObject] = []
        revision: int | None = None
        query = ""
        while True:
            reply = await self._caller.call("GET", path + query)
            fields = read_body(reply.status, reply.body)
            try:
                items += [read_object(kind, item) for item in fields["items"]]
                page_revision = int(fields["store_revision"])
                has_more = bool(fields["has_more"])
            except (KeyError, TypeError, ValueError) as exc:
                raise CallUnanswered(f"malformed list of {kind} objects") from exc
            # Later pages may be read at a newer revision. The list as a whole is only
            # known to be current as of the first page.
            revision = page_revision if revision is None else revision
            if not has_more or not items:
                return Listing(items=items, revision=revision)
            query = f"?after={quote(items[-1].name, safe='')}"

    async def watch(self, kind: str, revision: int) -> None:
        """
        Wait until an object of a kind may have changed, for 30 s at most.

        :param kind: kind of object
        :param revision: revision of the store after which changes count
        :raises StoreError: if the call failed
        """
        path = f"{OBJECTS}/{quote(kind, safe='')}"
        query = f"?watch={revision}&wait_ms={WATCH_WAIT_MS}"
        reply = await self._watcher.call("GET", path + query)
        if reply.status >= BAD_REQUEST:
            raise StoreRejected(f"status {reply.status}")


def read_body(status: int, body: bytes) -> Any:
    """
    Decode the JSON body of a store response.

    :param status: status of the response
    :param body: body of the response
    :return: the decoded value
    :raises StoreRejected: if the status is not 200
    :raises CallUnanswered: if the body is not JSON
    """
    if status != OK:
        raise StoreRejected(f"status {status}")
    try:
        return json.loads(body)
    except ValueError as exc:
        raise CallUnanswered("response body is not JSON") from exc


def read_object(kind: str, fields: Any) -> StoredObject:
    """
    Build a stored object from its JSON form.

    The ``spec`` field holds the content that an operator or an upstream has written.

    :param kind: kind of the object
    :param fields: the decoded object
    :return: the object
    :raises KeyError: if the name, the revision or the content is missing
    """
    metadata = fields["metadata"]
    return StoredObject(
        kind=kind,
        name=metadata["name"],
        revision=metadata["revision"],
        value=fields.get("spec") if kind in EMPTY_KINDS else fields["spec"],
    )
