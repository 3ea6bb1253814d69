"""HTTP client of the object API."""

import json
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote

from tornado.httputil import HTTPHeaders

from mangohatch.errors import StoreConflict, StoreRejected, StoreWriteUnknown
from mangohatch.store.base import Listing, ObjectStore, StoredObject, WatchEvent
from mangohatch.store.http_call import CallUnanswered, HttpCaller, HttpReply
from mangohatch.store.http_watch import watch_lines

__all__ = ["HttpObjectStore"]

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409


class HttpObjectStore(ObjectStore):
    """
    Accesses objects over HTTP; one instance serves one caller role.

    :param address: IP address of the object API
    :param port: TCP port of the object API
    :param role: caller role under which the platform counts the calls
    :param timeout_ms: timeout in milliseconds of one call, and of connecting a watch
    """

    def __init__(
        self, *, address: str, port: int, role: str, timeout_ms: float
    ) -> None:
        self._address = address
        self._port = port
        self._timeout_ms = timeout_ms
        self._caller = HttpCaller(
            address=address, port=port, role=role, timeout_ms=timeout_ms
        )

    async def get(self, kind: str, name: str) -> StoredObject | None:
        reply = await self._caller.call("GET", object_path(kind, name))
        if reply.status == NOT_FOUND:
            return None
        return read_object(read_body(reply, OK))

    async def list(self, kind: str) -> Listing:
        reply = await self._caller.call("GET", f"/objects/{quote(kind, safe='')}")
        fields = read_body(reply, OK)
        items = [read_object(item) for item in fields["items"]]
        return Listing(items=items, revision=fields["revision"])

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None,
    ) -> StoredObject:
        path = object_path(kind, name) + expected_query(expected_revision)
        reply = await self._write("PUT", path, json.dumps(value).encode())
        return read_object(read_body(reply, OK))

    async def delete(self, kind: str, name: str, *, expected_revision: int) -> None:
        path = object_path(kind, name) + expected_query(expected_revision)
        reply = await self._write("DELETE", path, None)
        if reply.status != NO_CONTENT:
            raise StoreRejected(f"{path}: status {reply.status}")

    async def watch(self, kind: str, *, since: int) -> AsyncIterator[WatchEvent]:
        headers = HTTPHeaders(self._caller.headers)
        headers["Host"] = f"{self._address}:{self._port}"
        lines = watch_lines(
            address=self._address,
            port=self._port,
            path=f"/watch/{quote(kind, safe='')}?since={since}",
            headers=headers,
            timeout_ms=self._timeout_ms,
        )
        try:
            async for line in lines:
                yield read_event(line)
        finally:
            await lines.aclose()  # type: ignore[attr-defined]

    def close(self) -> None:
        """Close the HTTP client."""
        self._caller.close()

    async def _write(self, method: str, path: str, body: bytes | None) -> HttpReply:
        try:
            reply = await self._caller.call(method, path, body)
        except CallUnanswered as exc:
            raise StoreWriteUnknown(str(exc)) from exc
        if reply.status == CONFLICT:
            raise StoreConflict(path)
        return reply


def object_path(kind: str, name: str) -> str:
    """
    Build the path of an object.

    :param kind: kind of object
    :param name: name within the kind
    :return: path with kind and name percent-encoded
    """
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def expected_query(expected_revision: int | None) -> str:
    """
    Build the query of a conditional write.

    :param expected_revision: revision to replace; None when no object may exist
    :return: query with the leading question mark
    """
    return f"?expected={'' if expected_revision is None else expected_revision}"


def read_body(reply: HttpReply, status: int) -> dict[str, Any]:
    """
    Parse the JSON body of a response.

    :param reply: the response
    :param status: expected status
    :return: fields of the JSON object
    :raises StoreRejected: the response has another status
    :raises CallUnanswered: the body is not JSON
    """
    if reply.status != status:
        raise StoreRejected(f"status {reply.status}")
    try:
        return json.loads(reply.body)
    except ValueError as exc:
        raise CallUnanswered("the answer is not JSON") from exc


def read_object(fields: dict[str, Any]) -> StoredObject:
    """
    Convert the JSON form of an object.

    :param fields: fields of the JSON object
    :return: the object
    """
    return StoredObject(
        kind=fields["kind"],
        name=fields["name"],
        revision=fields["revision"],
        value=fields["value"],
    )


def read_event(line: bytes) -> WatchEvent:
    """
    Parse one line of a watch.

    :param line: a JSON line
    :return: a change or a keep-alive event
    :raises CallUnanswered: the line is not JSON
    """
    try:
        fields = json.loads(line)
    except ValueError as exc:
        raise CallUnanswered("a line of the watch is not JSON") from exc
    item = read_object(fields["item"]) if fields["item"] else None
    return WatchEvent(item=item, deleted=fields["deleted"], revision=fields["revision"])
