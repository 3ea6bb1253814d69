"""Heads of responses, and receivers of their bodies."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders, ResponseStartLine

from mangohatch.errors import UpstreamAborted
from mangohatch.upstream.body_end import BodyEnd

__all__ = [
    "DiscardingSink",
    "ResponseHead",
    "ResponseSink",
    "check_interim",
    "is_framed",
]

SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204


@dataclass(slots=True, kw_only=True)
class ResponseHead:
    """Status line and header fields of a response."""

    line: ResponseStartLine
    headers: HTTPHeaders


class ResponseSink(ABC):
    """Receives a response as it arrives; implementations must not raise."""

    @abstractmethod
    def start(self, head: ResponseHead, *, body_pending: bool) -> None:
        """
        Start a response whose framing is valid.

        :param head: status line and header fields; the sink may modify them
        :param body_pending: whether the response has a body of which no bytes have
            arrived
        """

    @abstractmethod
    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """
        Write the next chunk of the body.

        :param chunk: next bytes of the body
        :return: awaitable that must finish before the next chunk is written; None when
            the next chunk can be written immediately
        """

    @abstractmethod
    def finish(self, end: BodyEnd) -> None:
        """
        Record how the body ended, once for each started response.

        :param end: how it ended
        """


class DiscardingSink(ResponseSink):
    """Discards a response whose content is not needed."""

    def start(self, head: ResponseHead, *, body_pending: bool) -> None:
        return None

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        return None

    def finish(self, end: BodyEnd) -> None:
        return None


def check_interim(head: ResponseHead) -> None:
    """
    Check that a final response follows the head of an interim one.

    :param head: head of an interim response
    :raises UpstreamAborted: when the protocol changes, or the head tells of a body,
        whose bytes could be taken for the next head
    """
    if head.line.code == SWITCHING_PROTOCOLS:
        raise UpstreamAborted("the upstream switched protocols")
    if "Content-Length" in head.headers or "Transfer-Encoding" in head.headers:
        raise UpstreamAborted("an interim response tells of a body")


def is_framed(head: ResponseHead) -> bool:
    """
    Return whether a truncation of a response can be detected.

    :param head: head of a response with a body
    :return: False when the body is delimited only by the end of the connection
    """
    framed = "Content-Length" in head.headers or "Transfer-Encoding" in head.headers
    return framed or head.line.code == NO_CONTENT
