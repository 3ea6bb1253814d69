"""Writing of responses to the caller."""

import socket
import struct
from collections.abc import Awaitable

from tornado.iostream import StreamClosedError

from mangohatch.entry.connection import CallerConnection
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.errors import Outcome, UpstreamAborted
from mangohatch.upstream.body_end import BodyEnd
from mangohatch.upstream.response import ResponseHead, ResponseSink

__all__ = ["CallerSink", "reset_connection"]

LINGER_ZERO = struct.pack("ii", 1, 0)
MAX_COPY_BYTES = 65_536


class CallerSink(ResponseSink):
    """
    Writes a response to the caller as it arrives.

    The head is sent in one segment with the first chunk of the body if that has
    arrived, otherwise immediately. Up to ``max_buffered_bytes`` of the protocol are
    buffered until the response is complete. ``copy`` collects the body for a later
    replay, as long as it does not exceed ``MAX_COPY_BYTES``.
    """

    def __init__(
        self, *, conn: CallerConnection, request_id: str, protocol: ProtocolAdapter
    ) -> None:
        self._conn = conn
        self._protocol = protocol
        self._buffered: bytearray | None = None
        self._request_id = request_id
        self._unsent_head: ResponseHead | None = None
        self.head: ResponseHead | None = None
        self.outcome = Outcome.DONE
        self.sent = False
        self.body_bytes = 0
        self.copy: bytearray | None = None
        self._body_end: BodyEnd | None = None

    def start(self, head: ResponseHead, *, body_pending: bool) -> None:
        self.outcome = self._protocol.finalize_response(head, self._request_id)
        self.head = self._unsent_head = head
        self._buffered = bytearray() if self._protocol.max_buffered_bytes else None
        if body_pending and self._buffered is None:
            self._send_head()

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        self.body_bytes += len(chunk)
        if self.copy is not None:
            self._append_copy(chunk)
        if self._conn.stream.closed():
            return None
        if self._buffered is not None:
            self._buffered += chunk
            if len(self._buffered) <= self._protocol.max_buffered_bytes:
                return None
            chunk = self._take_buffered()
        if self._unsent_head is not None:
            rest = self._write_unsent_head(chunk)
        else:
            rest = self._conn.write(chunk)
        return wait_written(rest) if rest is not None else None

    def finish(self, end: BodyEnd) -> None:
        self._body_end = end

    def _take_buffered(self) -> bytes:
        assert self._buffered is not None
        buffered = bytes(self._buffered)
        self._buffered = None
        return buffered

    def _append_copy(self, chunk: bytes) -> None:
        assert self.copy is not None
        if len(self.copy) + len(chunk) <= MAX_COPY_BYTES:
            self.copy += chunk
        else:
            self.copy = None

    @property
    def is_write_pending(self) -> bool:
        """Whether written data is still waiting to be sent to the caller."""
        return self._conn.stream.writing()

    def end(self) -> None:
        """
        Finish the response.

        :raises UpstreamAborted: when the body is not whole or shorter than announced
        """
        if self._body_end is None or not self._body_end.is_whole:
            raise UpstreamAborted("the end of the response has not arrived")
        if self._buffered:
            length = (
                self._unsent_head.headers.get("Content-Length")
                if self._unsent_head
                else None
            )
            if length is not None and int(length) != len(self._buffered):
                raise UpstreamAborted("the response is shorter than announced")
            if not self._conn.stream.closed():
                self._write_unsent_head(self._take_buffered())
        self._send_head()
        if self._conn.is_truncated:
            raise UpstreamAborted("the response is shorter than announced")
        self._conn.finish()

    def discard(self) -> bool:
        """
        Discard a response unless a part of it was sent.

        :return: whether the response was discarded
        """
        if self.sent:
            return False
        self.head = self._unsent_head = None
        self._buffered = None
        self._body_end = None
        self.body_bytes = 0
        if self.copy is not None:
            self.copy = bytearray()
        return True

    def _send_head(self) -> None:
        if self._unsent_head is not None and not self._conn.stream.closed():
            self._write_unsent_head(None)

    def _write_unsent_head(self, chunk: bytes | None) -> Awaitable[None] | None:
        assert self._unsent_head is not None
        head = self._unsent_head
        self._unsent_head = None
        self.sent = True
        return self._conn.write_headers(head.line, head.headers, chunk)


async def wait_written(fut: Awaitable[None]) -> None:
    """
    Wait until a chunk was written.

    A disconnect of the caller is ignored here; the session handles it.

    :param fut: the pending write
    """
    try:
        await fut
    except StreamClosedError:
        return


def reset_connection(conn: CallerConnection) -> None:
    """
    Reset a connection, so that the caller can't mistake a partial response for whole.

    :param conn: the caller's connection
    """
    stream = conn.stream
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        stream.close()
