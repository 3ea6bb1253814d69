"""HTTP client of the object API."""

import json
from collections import defaultdict
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote

import structlog
from tornado.httputil import HTTPHeaders

from mangohatch.errors import StoreConflict, StoreRejected, StoreWriteUnknown
from mangohatch.store.base import (
    UNNAMED,
    Listing,
    ObjectStore,
    StoredObject,
    WatchEvent,
)
from mangohatch.store.http_call import CallUnanswered, HttpCaller, HttpReply
from mangohatch.store.http_watch import watch_lines

__all__ = ["HttpObjectStore"]

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
OBJECT_FIELDS = (("kind", str), ("name", str), ("revision", int))

log = structlog.get_logger()


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
        # Names of the objects that were logged as unreadable, by kind.
        self._logged: defaultdict[str, set[str]] = defaultdict(set)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        reply = await self._caller.call("GET", object_path(kind, name))
        if reply.status == NOT_FOUND:
            return None
        return read_object(read_body(reply, OK))

    async def list(self, kind: str) -> Listing:
        reply = await self._caller.call("GET", f"/objects/{quote(kind, safe='')}")
        fields = read_body(reply, OK)
        items: list[StoredObject] = []
        unreadable: set[str] = set()
        elements = require_field(fields, "items", list)
        self._logged[kind] &= {find_name(element) for element in elements}
        for element in elements:
            try:
                items.append(read_object(element))
            except CallUnanswered as exc:
                unreadable.add(find_name(element))
                self._log_unreadable(kind, element, exc)
        return Listing(
            items=items,
            revision=require_field(fields, "revision", int),
            unreadable=frozenset(unreadable),
        )

    def _log_unreadable(self, kind: str, element: Any, exc: CallUnanswered) -> None:
        name = find_name(element)
        if name not in self._logged[kind]:
            self._logged[kind].add(name)
            log.warning("object_unreadable", kind=kind, name=name, cause=str(exc))

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
        try:
            return read_object(read_body(reply, OK))
        except CallUnanswered as exc:
            raise StoreWriteUnknown(f"{path}: {exc}") from exc

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
                fields = read_json(line)
                yield WatchEvent(
                    item=self._read_changed(kind, fields),
                    deleted=require_field(fields, "deleted", bool),
                    revision=require_field(fields, "revision", int),
                )
        finally:
            await lines.aclose()  # type: ignore[attr-defined]

    def _read_changed(self, kind: str, fields: Any) -> StoredObject | None:
        """Read the object of an event, None in a keep-alive event."""
        element = require_field(fields, "item", object)
        if element is None:
            return None
        try:
            return read_object(element)
        except CallUnanswered as exc:
            self._log_unreadable(kind, element, exc)
            return None

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


def read_body(reply: HttpReply, status: int) -> Any:
    """
    Parse the JSON body of a response.

    :param reply: the response
    :param status: expected status
    :return: the decoded document
    :raises StoreRejected: the response has another status
    :raises CallUnanswered: the body is not JSON
    """
    if reply.status != status:
        raise StoreRejected(f"status {reply.status}")
    return read_json(reply.body)


def read_json(text: bytes) -> Any:
    """
    Parse a JSON document.

    :param text: the document
    :return: the decoded document
    :raises CallUnanswered: the text is not JSON, or nested too deeply
    """
    try:
        return json.loads(text)
    except (RecursionError, ValueError) as exc:
        raise CallUnanswered("the answer is not JSON") from exc


def require_field(fields: Any, name: str, kind: type) -> Any:
    """
    Return a field of a decoded object and check its type.

    :param fields: the decoded object, or what stands in its place
    :param name: name of the field
    :param kind: expected type
    :return: the value
    :raises CallUnanswered: the field is missing or has another type
    """
    if not isinstance(fields, dict) or name not in fields:
        raise CallUnanswered(f"field {name!r} is missing, expected {kind.__name__}")
    value = fields[name]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is int):
        raise CallUnanswered(
            f"field {name!r} has type {type(value).__name__}, expected"
            f" {kind.__name__}"
        )
    return value


def read_object(fields: Any) -> StoredObject:
    """
    Convert the JSON form of an object.

    :param fields: fields of the JSON object
    :return: the object, whose value may be of any type
    :raises CallUnanswered: a field is missing or has another type
    """
    kind, name, revision = (require_field(fields, *field) for field in OBJECT_FIELDS)
    return StoredObject(
        kind=kind,
        name=name,
        revision=revision,
        value=require_field(fields, "value", object),
    )


def find_name(element: Any) -> str:
    """
    Return the name of an object that can't be read.

    :param element: what stands in the place of the object
    :return: the name, empty if there is none
    """
    name = element.get("name") if isinstance(element, dict) else None
    return name if isinstance(name, str) else UNNAMED
