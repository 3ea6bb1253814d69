"""The platform's store over HTTP."""

import json
from typing import Any
from urllib.parse import quote

from mangohatch.errors import StoreRejected
from mangohatch.store import Listing, ObjectReader, StoredObject
from mangohatch.store.http_call import CallUnanswered, HttpCaller

__all__ = ["PlatformStore"]

OK = 200
NOT_FOUND = 404
OBJECTS = "/mangohatch/objects"


class PlatformStore(ObjectReader):
    """
    A client that reads the platform's store.

    :param address: IP address and port of the store
    :param timeout_ms: time for one call
    """

    def __init__(self, *, address: tuple[str, int], timeout_ms: float) -> None:
        host, port = address
        self._caller = HttpCaller(address=host, port=port, timeout_ms=timeout_ms)

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
                raise CallUnanswered(f"the list of {kind} is malformed") from exc
            # Later pages are newer; as of the first one the whole list is known.
            revision = page_revision if revision is None else revision
            if not has_more or not items:
                return Listing(items=items, revision=revision)
            query = f"?after={quote(items[-1].name, safe='')}"


def read_body(status: int, body: bytes) -> Any:
    """
    Read the JSON body of an answer.

    :param status: status of the answer
    :param body: its body
    :return: the decoded value
    :raises StoreRejected: for another status than 200
    :raises CallUnanswered: when the body is not JSON
    """
    if status != OK:
        raise StoreRejected(f"status {status}")
    try:
        return json.loads(body)
    except ValueError as exc:
        raise CallUnanswered("the answer is not JSON") from exc


def read_object(kind: str, fields: Any) -> StoredObject:
    """
    Read an object; its ``spec`` holds all that the operator or an upstream wrote.

    :param kind: kind of object
    :param fields: its JSON form
    :return: the object
    :raises KeyError: when its name or revision is missing
    """
    metadata = fields["metadata"]
    return StoredObject(
        kind=kind,
        name=metadata["name"],
        revision=metadata["revision"],
        value=fields["spec"],
    )
