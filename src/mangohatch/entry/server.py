"""The HTTP server that callers connect to."""

import asyncio
import itertools
import json
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.tables import ServiceRow, Tables
from mangohatch.entry.body import RequestBody
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.headers import (
    DEADLINE_HEADER,
    ERROR_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from mangohatch.errors import NoRoute, RequestError

__all__ = ["EntryServer"]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class EntryServer(HTTPServerConnectionDelegate):
    """Accepts requests and hands each to a forwarder."""

    def __init__(
        self, *, host_id: str, clock: Clock, tables: Tables, forwarder: Forwarder
    ) -> None:
        self.clock = clock
        self.forwarder = forwarder
        self._host_id = host_id
        self._tables = tables
        self._sequence = itertools.count(1)
        self._server = HTTPServer(self)

    def listen(self, address: str, port: int) -> None:
        """
        Start to accept connections.

        :param address: IP address to bind
        :param port: TCP port to bind
        """
        self._server.listen(port, address)

    async def close(self) -> None:
        """Stop accepting connections and close those that are open."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(self, server_conn, request_conn):
        return Exchange(server=self, conn=request_conn)

    def next_request_id(self) -> str:
        """
        Make a request id.

        :return: an id that is unique over all hosts while host ids are
        """
        return f"{self._host_id}-{next(self._sequence)}"

    def find_service(self, path: str) -> ServiceRow:
        """
        Find the service that a path belongs to.

        :param path: path of the request
        :return: the service with the longest matching prefix
        :raises NoRoute: when no service matches
        """
        matches = [
            row
            for row in self._tables.services.values()
            if path.startswith(row.spec.path_prefix)
        ]
        if not matches:
            raise NoRoute(f"no service serves {path}")
        return max(matches, key=lambda row: len(row.spec.path_prefix))


class Exchange(HTTPMessageDelegate):
    """One request of a caller and its response."""

    def __init__(self, *, server: EntryServer, conn: HTTP1Connection) -> None:
        self._server = server
        self._conn = conn
        self._body: RequestBody | None = None
        self._task: asyncio.Task[None] | None = None
        self._request_id = server.next_request_id()

    def headers_received(self, start_line, headers):
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            self._body = RequestBody()
        self._task = asyncio.create_task(self._serve(start_line, headers))
        self._conn.set_close_callback(self.on_connection_close)

    async def data_received(self, chunk):
        if self._body is not None:
            await self._body.put(chunk)

    def finish(self):
        if self._body is not None:
            asyncio.ensure_future(self._body.end())

    def on_connection_close(self):
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, line, headers) -> None:
        try:
            call = self._make_call(line, headers)
            forward = self._server.forwarder.forward
            await forward(call, line, headers, self._body, self._conn)
        except RequestError as exc:
            self._answer(exc)

    def _make_call(self, line, headers: HTTPHeaders) -> Call:
        service = self._server.find_service(line.path)
        now_ms = self._server.clock.now_ms()
        budget_ms = float(headers.get(DEADLINE_HEADER, service.spec.deadline_ms))
        return Call(
            request_id=self._request_id,
            service=service.spec.name,
            arrived_ms=now_ms,
            deadline_ms=now_ms + budget_ms,
            idempotent=line.method in SAFE_METHODS,
        )

    def _answer(self, error: RequestError) -> None:
        body = json.dumps(
            {"code": error.code, "outcome": error.outcome, "detail": error.detail}
        ).encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                OUTCOME_HEADER: error.outcome,
                ERROR_HEADER: error.code,
                REQUEST_ID_HEADER: self._request_id,
            }
        )
        reason = HTTPStatus(error.status).phrase
        line = ResponseStartLine("HTTP/1.1", error.status, reason)
        self._conn.write_headers(line, headers, body)
        self._conn.finish()
