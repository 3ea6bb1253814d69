"""Strict parsing of a request head."""

import re
from urllib.parse import unquote

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    RequestStartLine,
    parse_request_start_line,
)

from mangohatch.errors import (
    BadRequest,
    ExpectationFailed,
    HeaderTooLarge,
    MethodRefused,
    TargetTooLong,
    UnsupportedCoding,
    UnsupportedVersion,
)
from mangohatch.wire import parse_fields

__all__ = ["MAX_HEAD_BYTES", "decode_path", "parse_head"]

MAX_HEAD_BYTES = 32_768
MAX_TARGET_BYTES = 8_192
MAX_LENGTH_DIGITS = 15

REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
VERSIONS = frozenset({"HTTP/1.0", "HTTP/1.1"})
HOST = re.compile(r"[A-Za-z0-9._~\-]*(:[0-9]*)?|\[[0-9A-Fa-f:.]+\](:[0-9]*)?")
TARGET = re.compile(r"/[!$-;=?-Z_a-z~\[\]|]*")
BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
DIGITS = re.compile(r"[0-9]+")


def parse_head(
    data: bytes, *, max_bytes: int = MAX_HEAD_BYTES
) -> tuple[RequestStartLine, HTTPHeaders]:
    """
    Parse a request head; refuse anything that another parser could read differently.

    :param data: the head up to and including the empty line
    :param max_bytes: maximum accepted size in bytes
    :return: request line and header fields
    :raises BadRequest: when the head is malformed, ambiguous or not supported
    """
    if len(data) > max_bytes:
        raise HeaderTooLarge(f"the request head has more than {max_bytes} bytes")
    if data.count(b"\n") != data.count(b"\r\n"):
        raise BadRequest("a line of the request head ends without carriage return")
    first, *fields = data.decode("latin1").rstrip("\r\n").split("\r\n")
    try:
        line = parse_request_start_line(first)
    except HTTPInputError as exc:
        raise BadRequest(f"the request line is malformed: {exc}") from exc
    check_line(line)
    try:
        headers = parse_fields(fields)
    except HTTPInputError as exc:
        # The error of tornado shows the field, which may hold a key.
        raise BadRequest("a header field is malformed") from exc
    check_host(line, headers)
    check_framing(line, headers)
    expect = headers.get("Expect")
    if expect is not None and expect.lower() != "100-continue":
        raise ExpectationFailed("only 100-continue can be expected")
    return line, headers


def check_line(line: RequestStartLine) -> None:
    """
    Check method, target and version.

    :param line: request line
    :raises BadRequest: when one of them is not accepted
    """
    if line.version not in VERSIONS:
        raise UnsupportedVersion("the protocol version is not supported")
    if line.method in REFUSED_METHODS:
        raise MethodRefused(f"method {line.method} is not forwarded")
    if len(line.path) > MAX_TARGET_BYTES:
        raise TargetTooLong(f"the target has more than {MAX_TARGET_BYTES} bytes")
    if TARGET.fullmatch(line.path) is None or BAD_ESCAPE.search(line.path):
        raise BadRequest("the target is not an absolute path")
    check_path(line.path.partition("?")[0])


def check_path(path: str) -> None:
    """
    Refuse paths that an upstream may normalize to a different path.

    :param path: path without query
    :raises BadRequest: when it has empty or dot segments or escaped separators
    """
    decoded = decode_path(path)
    if decoded.count("/") != path.count("/") or "\\" in decoded or "\0" in decoded:
        raise BadRequest("the path has an escaped separator")
    if "//" in decoded:
        raise BadRequest("the path has an empty segment")
    if "/." in decoded and {".", ".."} & set(decoded.split("/")):
        raise BadRequest("the path has a dot segment")


def decode_path(path: str) -> str:
    """
    Decode the percent-escapes of a path.

    :param path: path without query
    :return: the path as an upstream decodes it
    """
    return unquote(path) if "%" in path else path


def check_host(line: RequestStartLine, headers: HTTPHeaders) -> None:
    """
    Check that a request has exactly one well-formed ``Host`` field.

    HTTP/1.0 requests may omit it.

    :param line: request line
    :param headers: header fields
    :raises BadRequest: when the field is missing, repeated or malformed
    """
    hosts = headers.get_list("Host")
    if len(hosts) > 1 or (not hosts and line.version == "HTTP/1.1"):
        raise BadRequest("the request must have one Host field")
    if hosts and HOST.fullmatch(hosts[0]) is None:
        raise BadRequest("the Host field is malformed")


def check_framing(line: RequestStartLine, headers: HTTPHeaders) -> None:
    """
    Check that the body length of a request is unambiguous.

    :param line: request line
    :param headers: header fields
    :raises BadRequest: when there are several lengths, or codings other than chunked
    """
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    if not lengths and not codings:
        return
    if lengths and codings:
        raise BadRequest("Content-Length and Transfer-Encoding exclude each other")
    if len(lengths) > 1 or len(codings) > 1:
        raise BadRequest("the body length is stated more than once")
    if codings:
        if line.version == "HTTP/1.0":
            raise BadRequest("HTTP/1.0 has no Transfer-Encoding")
        if codings[0].lower() != "chunked":
            raise UnsupportedCoding("only the chunked transfer coding is supported")
    elif DIGITS.fullmatch(lengths[0]) is None or len(lengths[0]) > MAX_LENGTH_DIGITS:
        raise BadRequest("the Content-Length is not a number")
