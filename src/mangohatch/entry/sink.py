"""The caller's end of a response."""

import socket
import struct
from collections.abc import Awaitable

from tornado.iostream import StreamClosedError

from mangohatch.entry.connection import CallerConnection
from mangohatch.entry.headers import OUTCOME_HEADER, REQUEST_ID_HEADER, drop_hop_by_hop
from mangohatch.errors import Outcome, UpstreamAborted
from mangohatch.upstream.connection import ResponseHead, ResponseSink

__all__ = ["CallerSink", "break_connection"]

NO_LINGER = struct.pack("ii", 1, 0)
FIRST_SERVER_ERROR = 500
MAX_COPY_BYTES = 65_536
OUTCOMES = frozenset(Outcome)


class CallerSink(ResponseSink):
    """
    Writes a response to the caller as it arrives.

    The head leaves in one segment with the first piece of the body, if that has
    arrived, else at once. ``copy`` collects
    the body for a later replay while it is short enough.
    """

    def __init__(self, *, conn: CallerConnection, request_id: str) -> None:
        self._conn = conn
        self._request_id = request_id
        self._head: ResponseHead | None = None
        self.head: ResponseHead | None = None
        self.outcome = Outcome.DONE
        self.sent = False
        self.body_bytes = 0
        self.copy: bytearray | None = None

    def start(self, head: ResponseHead, *, body_waits: bool) -> None:
        drop_hop_by_hop(head.headers)
        self.outcome = read_outcome(head)
        head.headers[OUTCOME_HEADER] = self.outcome
        head.headers[REQUEST_ID_HEADER] = self._request_id
        self.head = self._head = head
        if body_waits:
            self._flush_head()

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        self.body_bytes += len(chunk)
        if self.copy is not None:
            self._keep(chunk)
        if self._conn.stream.closed():
            return None
        if self._head is not None:
            rest = self._write_head(chunk)
        else:
            rest = self._conn.write(chunk)
        return drained(rest) if rest is not None else None

    def _keep(self, chunk: bytes) -> None:
        assert self.copy is not None
        if len(self.copy) + len(chunk) <= MAX_COPY_BYTES:
            self.copy += chunk
        else:
            self.copy = None

    @property
    def stalled(self) -> bool:
        """Whether the caller has yet to take what was written."""
        return self._conn.stream.writing()

    def end(self) -> None:
        """
        End the response.

        :raises UpstreamAborted: when the body is shorter than announced
        """
        self._flush_head()
        if self._conn.is_short:
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


def read_outcome(head: ResponseHead) -> Outcome:
    """
    Tell what a response says of the execution of its request.

    :param head: head of the response
    :return: what the upstream stated, else done below 500 and unknown from 500 on
    """
    stated = head.headers.get(OUTCOME_HEADER)
    if stated in OUTCOMES:
        return Outcome(stated)
    if head.line.code < FIRST_SERVER_ERROR:
        return Outcome.DONE
    return Outcome.UNKNOWN


async def drained(fut: Awaitable[None]) -> None:
    """
    Wait until a piece was written; a caller that left is noticed elsewhere.

    :param fut: the write
    """
    try:
        await fut
    except StreamClosedError:
        return


def break_connection(conn: CallerConnection) -> None:
    """
    Reset a connection, so that no part of a response passes for the whole.

    :param conn: the caller's connection
    """
    stream = conn.stream
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        stream.close()
