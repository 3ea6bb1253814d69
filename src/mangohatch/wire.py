"""Parsing and formatting of HTTP/1.1 heads, and sending of data."""

import asyncio

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    ResponseStartLine,
    parse_response_start_line,
)
from tornado.iostream import IOStream

__all__ = [
    "FIRST_FINAL_CODE",
    "format_head",
    "parse_fields",
    "parse_status_line",
    "send",
]

CRLF = "\r\n"
WHITESPACE = " \t"
STATUS_CODES = range(100, 600)  # the valid ones of RFC 9110, section 15
FIRST_FINAL_CODE = 200  # lower ones are those of interim responses


def parse_status_line(text: str) -> ResponseStartLine:
    """
    Parse a status line; tornado accepts any three digits as its code.

    :param text: first line of a response, without line end
    :return: the status line
    :raises HTTPInputError: when the line is malformed or its code is no valid one
    """
    line = parse_response_start_line(text)
    if line.code not in STATUS_CODES:
        raise HTTPInputError(
            f"the status code is {line.code:03}, expected {STATUS_CODES[0]} to"
            f" {STATUS_CODES[-1]}"
        )
    return line


def parse_fields(lines: list[str]) -> HTTPHeaders:
    """
    Parse header lines; tornado validates each name and value.

    :param lines: header lines without line ends
    :return: the header fields
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
    Format a message head.

    :param start_line: request line or status line
    :param headers: header fields
    :return: the encoded head, including the empty line at its end
    :raises ValueError: when a field contains a line end, which would inject a line
    """
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    text = CRLF.join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1:
        raise ValueError("a header field holds a line end")
    return f"{text}\r\n\r\n".encode("latin1")


def send(stream: IOStream, data: bytes) -> asyncio.Future[None] | None:
    """
    Send data directly, and pass what the socket does not accept to the stream.

    A write through the stream costs a future and iterations of the event loop. Data
    that fits into the socket's buffer avoids this cost.

    :param stream: the stream to write to
    :param data: the bytes to send
    :return: a future for the write of the remaining bytes; None when none remain or
        the socket failed, which closes the stream
    :raises StreamClosedError: when the stream was already closed
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
