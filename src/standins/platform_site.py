"""Stand-in for the users' platform: its store and its upstreams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

__all__ = ["PlatformSite", "RawObject", "SiteUpstream"]

LOOPBACK = "127.0.0.1"
PAGE_SIZE = 50
WATCH_POLL_MS = 10.0
MS_PER_S = 1000.0

Headers = dict[str, str]
Response = tuple[int, Headers, bytes]
# Status, header fields and body of a response, or bytes to be sent as they are.
Handler = Callable[[str, str, Headers, bytes], Awaitable[Response | bytes]]


class StubHttpServer:
    """Minimal HTTP/1.1 server that passes each request to a handler."""

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                line, *lines = head.strip().split("\r\n")
                method, target, _ = line.split(" ")
                headers = {
                    name.lower(): value
                    for name, value in (item.split(": ", 1) for item in lines)
                }
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                answer = await self._handler(method, target, headers, body)
                if isinstance(answer, bytes):
                    writer.write(answer)
                    await writer.drain()
                    continue
                status, fields, content = answer
                fields = fields | {"Content-Length": str(len(content))}
                text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@dataclass(slots=True, kw_only=True)
class SiteUpstream:
    """
    An upstream that answers each request with its path.

    It answers 421 to requests whose ``Expected-Instance`` names another upstream. Its
    answers carry the fields ``signs``, and with ``pause_s`` it turns requests away and
    asks for a pause. With ``echoes``, an answer is the body of its request. What
    ``faults`` returns for the fields of an answer is sent in its place.
    """

    name: str
    service: str
    work_s: float = 0.0
    signs: Headers = field(default_factory=dict)
    pause_s: str = ""
    echoes: bool = False
    faults: Callable[[Headers], bytes] | None = None
    requests: list[Headers] = field(default_factory=list)
    server: StubHttpServer | None = None

    async def start(self) -> None:
        """Start accepting requests."""
        self.server = StubHttpServer(handler=self.answer)
        await self.server.start()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """
        Build the registration entry of the upstream.

        :param state: state of the upstream, such as ``ready``
        :return: content of the entry
        """
        assert self.server is not None
        return {
            "address": f"{LOOPBACK}:{self.server.port}",
            "born": 1,
            "info": {"service": self.service, "version": "v1", "zone": "z", "slots": 2},
            "status": {"state": state, "sequence": 1, "cold_remaining": "0ms"},
        }

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response | bytes:
        """
        Answer a request.

        :param method: HTTP method
        :param target: request target
        :param headers: header fields with names in lower case
        :param body: request body
        :return: status, header fields and body of the response, or its bytes
        """
        load = {"Upstream-Load": "0,0,2,100"} | self.signs
        if target == "/healthz":
            return 200, load | {"Upstream-Instance": self.name}, b""
        if headers.get("expected-instance") != self.name:
            return 421, {"Upstream-Instance": self.name}, b""
        self.requests.append(headers)
        if self.pause_s:
            refusal = {"Not-Executed": "1", "Retry-After": self.pause_s}
            return 503, load | refusal | {"Request-Id": headers["request-id"]}, b""
        await asyncio.sleep(self.work_s)
        fields = {
            "Request-Id": headers["request-id"],
            "Upstream-Signature": f"{self.name}.signed",
        }
        if self.faults is not None:
            return self.faults(load | fields)
        return 200, load | fields, body if self.echoes else target.encode()


@dataclass(slots=True, kw_only=True, frozen=True)
class RawObject:
    """An object as the store sends it, which need not be JSON."""

    text: bytes


class PlatformSite:
    """A store with configuration objects, and upstreams registered in it."""

    def __init__(self, *, upstreams: list[SiteUpstream]) -> None:
        self.upstreams = upstreams
        self.revision = 1
        self.calls: list[str] = []
        self.objects: dict[str, dict[str, tuple[int, Any]]] = {}
        self.store = StubHttpServer(handler=self.answer)
        self._changed: dict[str, int] = {}

    async def start(self) -> None:
        """Start the store and the upstreams, and register the upstreams."""
        await self.store.start()
        for upstream in self.upstreams:
            await upstream.start()
            self.put("servers", upstream.name, upstream.entry())

    def stop(self) -> None:
        """Stop accepting connections."""
        self.store.stop()
        for upstream in self.upstreams:
            if upstream.server is not None:
                upstream.server.stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """
        Write an object.

        :param kind: kind of object
        :param name: name of the object
        :param spec: content of the object
        """
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, spec)
        self._changed[kind] = self.revision

    def delete(self, kind: str, name: str) -> None:
        """
        Delete an object.

        :param kind: kind of object
        :param name: name of the object
        """
        self.revision += 1
        del self.objects[kind][name]
        self._changed[kind] = self.revision

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response:
        """
        Answer a call to the store with a page of objects.

        :param method: HTTP method
        :param target: request target: path and query
        :param headers: header fields with names in lower case
        :param body: request body
        :return: status, header fields and body of the response
        """
        parts = urlsplit(target)
        kind = parts.path.rpartition("/")[2]
        self.calls.append(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if "watch" in query:
            await self._wait(kind, int(query["watch"]), float(query["wait_ms"]))
        after = query.get("after", "")
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self._object(kind, name) for name in names[:PAGE_SIZE]]
        has_more = json.dumps(len(names) > PAGE_SIZE).encode()
        page = b'{"items":[%b],"has_more":%b,"store_revision":%d}'
        return 200, {}, page % (b",".join(items), has_more, self.revision)

    async def _wait(self, kind: str, revision: int, wait_ms: float) -> None:
        waited_ms = 0.0
        while self._changed.get(kind, 0) <= revision and waited_ms < wait_ms:
            await asyncio.sleep(WATCH_POLL_MS / MS_PER_S)
            waited_ms += WATCH_POLL_MS

    def _object(self, kind: str, name: str) -> bytes:
        revision, spec = self.objects[kind][name]
        if isinstance(spec, RawObject):
            return spec.text
        metadata = {"name": name, "revision": revision}
        content = {"metadata": metadata, "spec": spec, "status": None}
        return json.dumps(content).encode()
