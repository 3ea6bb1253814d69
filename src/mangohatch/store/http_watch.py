"""Streaming of a watch over one HTTP connection."""

import asyncio
from collections.abc import AsyncIterator

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from mangohatch.errors import RevisionCompacted, StoreUnavailable

__all__ = ["watch_lines"]

GONE = 410
OK = 200
MAX_QUEUED_LINES = 1000
MAX_LINE_BYTES = 4 * 1024 * 1024
MS_PER_S = 1000.0


class LineReader(HTTPMessageDelegate):
    """Splits the body of a response with status 200 into lines."""

    def __init__(self) -> None:
        self.status = 0
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_LINES)
        self._partial_line = b""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code

    async def data_received(self, chunk: bytes) -> None:
        if self.status != OK:
            return
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise StoreUnavailable("a line of the watch is too long")
        for line in lines:
            await self.lines.put(line)


async def watch_lines(
    *, address: str, port: int, path: str, headers: HTTPHeaders, timeout_ms: float
) -> AsyncIterator[bytes]:
    """
    Open a watch and read its lines.

    :param address: IP address of the object API
    :param port: TCP port of the object API
    :param path: path and query
    :param headers: header fields to send
    :param timeout_ms: timeout in milliseconds of opening the connection
    :return: lines without line ends; closing the iterator closes the connection
    :raises RevisionCompacted: the store no longer keeps the requested changes
    :raises StoreUnavailable: the watch could not be opened, or broke
    """
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            stream = await TCPClient().connect(address, port)
    except (OSError, StreamClosedError, TimeoutError) as exc:
        raise StoreUnavailable(f"{path}: no connection") from exc
    reader = LineReader()
    params = HTTP1ConnectionParameters(no_keep_alive=True, decompress=False)
    conn = HTTP1Connection(stream, True, params)
    read_task = asyncio.create_task(read_response(conn, path, headers, reader))
    try:
        while True:
            line = await reader.lines.get()
            if line is None:
                break
            if line:
                yield line
        if reader.status == GONE:
            raise RevisionCompacted(path)
        raise StoreUnavailable(f"{path}: the watch ended with {reader.status}")
    finally:
        read_task.cancel()
        stream.close()


async def read_response(
    conn: HTTP1Connection, path: str, headers: HTTPHeaders, reader: LineReader
) -> None:
    """
    Send the request of a watch and read until the response ends.

    :param conn: connection without earlier requests
    :param path: path and query
    :param headers: header fields to send
    :param reader: receives the lines, then None unless its queue is full
    """
    try:
        await conn.write_headers(RequestStartLine("GET", path, "HTTP/1.1"), headers)
        conn.finish()
        await conn.read_response(reader)
    except StreamClosedError:
        pass
    finally:
        if not reader.lines.full():
            reader.lines.put_nowait(None)
