"""Continuation of a truncated download on another upstream."""

import re
from collections.abc import Awaitable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from mangohatch.entry.sink import CallerSink
from mangohatch.errors import ContinuationFailed
from mangohatch.upstream.body_end import BodyEnd
from mangohatch.upstream.response import ResponseHead, ResponseSink

__all__ = [
    "Continuation",
    "ContinuationSink",
    "plan_continuation",
]

OK = 200
PARTIAL_CONTENT = 206
CONTENT_RANGE = re.compile(r"bytes ([0-9]{1,15})-([0-9]{1,15})/([0-9]{1,15})")
STRONG_ETAG = re.compile(r'"[^"]*"')


@dataclass(slots=True, kw_only=True, frozen=True)
class Continuation:
    """Range of the representation that has not been sent to the caller."""

    etag: str
    first_byte: int
    last_byte: int
    total_bytes: int

    @property
    def length(self) -> int:
        """Number of missing bytes."""
        return self.last_byte - self.first_byte + 1

    def set_range_headers(self, headers: HTTPHeaders) -> None:
        """
        Request the missing bytes, provided that the representation is unchanged.

        :param headers: header fields sent to the upstream
        """
        headers["Range"] = f"bytes={self.first_byte}-{self.last_byte}"
        headers["If-Range"] = self.etag

    def check(self, head: ResponseHead) -> None:
        """
        Check that a response contains exactly the missing bytes.

        :param head: head of the response
        :raises ContinuationFailed: when the version, range or length differs
        """
        headers = head.headers
        expected = f"bytes {self.first_byte}-{self.last_byte}/{self.total_bytes}"
        matches = (
            head.line.code == PARTIAL_CONTENT
            and headers.get("Etag") == self.etag
            and headers.get("Content-Range") == expected
            and headers.get("Content-Length") == str(self.length)
        )
        if not matches:
            raise ContinuationFailed("the upstream can't continue the response")


class ContinuationSink(ResponseSink):
    """Appends the body of a continuation to the response already started."""

    def __init__(self, *, sink: CallerSink) -> None:
        self._sink = sink

    def start(self, head: ResponseHead, *, body_pending: bool) -> None:
        return None

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        return self._sink.write(chunk)

    def finish(self, end: BodyEnd) -> None:
        self._sink.finish(end)


def plan_continuation(method: str, sink: CallerSink) -> Continuation | None:
    """
    Determine the missing byte range of a truncated response.

    :param method: method of the request
    :param sink: the part of the response sent to the caller
    :return: the missing range; None when the response can't be continued
    """
    head = sink.head
    if method != "GET" or head is None:
        return None
    etag = head.headers.get("Etag", "")
    length = head.headers.get("Content-Length")
    if STRONG_ETAG.fullmatch(etag) is None or length is None:
        return None
    if head.line.code == OK:
        first, last, total = 0, int(length) - 1, int(length)
    elif head.line.code == PARTIAL_CONTENT:
        match = CONTENT_RANGE.fullmatch(head.headers.get("Content-Range", ""))
        if match is None:
            return None
        first, last, total = (int(group) for group in match.groups())
        if last - first + 1 != int(length) or last >= total:
            return None
    else:
        return None
    missing = first + sink.body_bytes
    if missing > last:
        return None
    return Continuation(
        etag=etag, first_byte=missing, last_byte=last, total_bytes=total
    )
