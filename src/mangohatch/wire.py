"""Reading and writing of HTTP/1.1 heads and pieces."""

import asyncio

from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import IOStream

__all__ = ["format_head", "parse_fields", "send"]

CRLF = "\r\n"
WHITESPACE = " \t"


def parse_fields(lines: list[str]) -> HTTPHeaders:
    """
    Parse header lines; each name and value is checked by tornado.

    :param lines: lines without line ends
    :return: the fields
    :raises HTTPInputError: when a line is malformed or folded
    """
    headers = HTTPHeaders()
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise HTTPInputError("no colon in header line")
        headers.add(name, value.strip(WHITESPACE))
    return headers


def format_head(start_line: str, headers: HTTPHeaders) -> bytes:
    """
    Write a head.

    :param start_line: request line or status line
    :param headers: header fields
    :return: the head with its empty line
    :raises ValueError: when a value would start another line
    """
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    text = CRLF.join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1:
        raise ValueError("a header field holds a line end")
    return f"{text}\r\n\r\n".encode("latin1")


def send(stream: IOStream, data: bytes) -> asyncio.Future[None] | None:
    """
    Send a piece at once, and leave to the stream what the socket does not take.

    A write through the stream costs a future and turns of the event loop, which
    pieces that fit into the socket's buffer can do without.

    :param stream: an open stream
    :param data: the piece
    :return: the write of the rest; None when nothing is left
    :raises StreamClosedError: when the stream was closed before
    """
    if stream.closed() or stream.writing():
        return stream.write(data)
    try:
        sent = stream.socket.send(data)
    except BlockingIOError:
        sent = 0
    except OSError as exc:
        stream.close(exc_info=exc)
        return None
    if sent == len(data):
        return None
    return stream.write(memoryview(data)[sent:])
