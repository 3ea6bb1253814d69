"""The caller's end of a response."""

import socket
import struct
from collections.abc import Awaitable

from tornado.iostream import StreamClosedError

from mangohatch.entry.connection import CallerConnection
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.errors import Outcome, UpstreamAborted
from mangohatch.upstream.connection import ResponseHead, ResponseSink

__all__ = ["CallerSink", "reset_connection"]

NO_LINGER = struct.pack("ii", 1, 0)
MAX_COPY_BYTES = 65_536


class CallerSink(ResponseSink):
    """
    Writes a response to the caller as it arrives.

    The head leaves in one segment with the first piece of the body, if that has
    arrived, else at once. Up to ``max_buffered_bytes`` of the protocol are kept until
    the response is whole. ``copy`` collects the body for a later replay while it is
    short enough.
    """

    def __init__(
        self, *, conn: CallerConnection, request_id: str, protocol: ProtocolAdapter
    ) -> None:
        self._conn = conn
        self._protocol = protocol
        self._held: bytearray | None = None
        self._request_id = request_id
        self._head: ResponseHead | None = None
        self.head: ResponseHead | None = None
        self.outcome = Outcome.DONE
        self.sent = False
        self.body_bytes = 0
        self.copy: bytearray | None = None

    def start(self, head: ResponseHead, *, body_pending: bool) -> None:
        self.outcome = self._protocol.finalize_response(head, self._request_id)
        self.head = self._head = head
        self._held = bytearray() if self._protocol.max_buffered_bytes else None
        if body_pending and self._held is None:
            self._flush_head()

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        self.body_bytes += len(chunk)
        if self.copy is not None:
            self._keep(chunk)
        if self._conn.stream.closed():
            return None
        if self._held is not None:
            self._held += chunk
            if len(self._held) <= self._protocol.max_buffered_bytes:
                return None
            chunk = self._release_held()
        if self._head is not None:
            rest = self._write_head(chunk)
        else:
            rest = self._conn.write(chunk)
        return drained(rest) if rest is not None else None

    def _release_held(self) -> bytes:
        assert self._held is not None
        held = bytes(self._held)
        self._held = None
        return held

    def _keep(self, chunk: bytes) -> None:
        assert self.copy is not None
        if len(self.copy) + len(chunk) <= MAX_COPY_BYTES:
            self.copy += chunk
        else:
            self.copy = None

    @property
    def is_write_pending(self) -> bool:
        """Whether the caller has yet to take what was written."""
        return self._conn.stream.writing()

    def end(self) -> None:
        """
        End the response.

        :raises UpstreamAborted: when the body is shorter than announced
        """
        if self._held:
            length = self._head.headers.get("Content-Length") if self._head else None
            if length is not None and int(length) != len(self._held):
                raise UpstreamAborted("the response is shorter than announced")
            if not self._conn.stream.closed():
                self._write_head(self._release_held())
        self._flush_head()
        if self._conn.is_truncated:
            raise UpstreamAborted("the response is shorter than announced")
        self._conn.finish()

    def discard(self) -> bool:
        """
        Forget a response of which nothing was sent.

        :return: whether nothing was sent
        """
        if self.sent:
            return False
        self.head = self._head = None
        self._held = None
        self.body_bytes = 0
        if self.copy is not None:
            self.copy = bytearray()
        return True

    def _flush_head(self) -> None:
        if self._head is not None and not self._conn.stream.closed():
            self._write_head(None)

    def _write_head(self, chunk: bytes | None) -> Awaitable[None] | None:
        assert self._head is not None
        head = self._head
        self._head = None
        self.sent = True
        return self._conn.write_headers(head.line, head.headers, chunk)


async def drained(fut: Awaitable[None]) -> None:
    """
    Wait until a piece was written; a caller that left is noticed elsewhere.

    :param fut: the write
    """
    try:
        await fut
    except StreamClosedError:
        return


def reset_connection(conn: CallerConnection) -> None:
    """
    Reset a connection, so that no part of a response passes for the whole.

    :param conn: the caller's connection
    """
    stream = conn.stream
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        stream.close()
