"""Response bodies whose correctness a caller can check."""

import hashlib
import json
import re
from dataclasses import dataclass

__all__ = [
    "ByteRange",
    "UnsatisfiableRange",
    "answer_body",
    "check_answer",
    "download_bytes",
    "entity_tag",
    "parse_range",
]

BLOCK_BYTES = 4096
RANGE_PATTERN = re.compile(r"^bytes=(\d+)-(\d*)$")


class UnsatisfiableRange(Exception):
    """The range begins after the end of the body."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ByteRange:
    """Byte range from ``start`` (inclusive) to ``end`` (exclusive)."""

    start: int
    end: int


def digest(text: str) -> bytes:
    """
    Compute the SHA-256 digest of a text.

    :param text: the text
    :return: 32 bytes
    """
    return hashlib.sha256(text.encode()).digest()


def answer_body(request_id: str, path: str, upstream: str, padding: int) -> bytes:
    """
    Build a response body that contains the request id and a checksum.

    :param request_id: request id that the caller assigned
    :param path: path of the request
    :param upstream: name of the upstream
    :param padding: number of padding bytes
    :return: a JSON document
    """
    check = digest(f"{request_id} {path}").hex()
    document = {
        "id": request_id,
        "path": path,
        "upstream": upstream,
        "padding": "x" * padding,
        "check": check,
    }
    return json.dumps(document).encode()


def check_answer(body: bytes, request_id: str, path: str) -> bool:
    """
    Check that a response body is complete and belongs to a request.

    :param body: the response body
    :param request_id: request id that the caller assigned
    :param path: path of the request
    :return: whether both conditions hold
    """
    try:
        document = json.loads(body)
    except ValueError:
        return False
    if not isinstance(document, dict):
        return False
    expected = digest(f"{request_id} {path}").hex()
    return (document.get("id"), document.get("check")) == (request_id, expected)


def entity_tag(name: str, size: int, version: int) -> str:
    """
    Build the strong entity tag of a download.

    :param name: path of the download
    :param size: length of the whole body in bytes
    :param version: version of the content
    :return: the entity tag including its quotes
    """
    return f'"{digest(f"{name} {size} {version}").hex()[:24]}"'


def download_bytes(name: str, version: int, start: int, end: int) -> bytes:
    """
    Generate a part of a download.

    :param name: path of the download
    :param version: version of the content
    :param start: offset of the first byte
    :param end: offset after the last byte
    :return: the bytes
    """
    first = start // BLOCK_BYTES
    last = -(-end // BLOCK_BYTES)
    blocks = [
        digest(f"{name} {version} {number}") * (BLOCK_BYTES // 32)
        for number in range(first, last)
    ]
    offset = first * BLOCK_BYTES
    return b"".join(blocks)[start - offset : end - offset]


def parse_range(value: str, size: int) -> ByteRange | None:
    """
    Parse a Range header with a single range that has a start.

    :param value: value of the header
    :param size: length of the whole body in bytes
    :return: the range; None when the header has another form and must be ignored
    :raises UnsatisfiableRange: when the range begins after the end of the body
    """
    match = RANGE_PATTERN.match(value)
    if match is None:
        return None
    start = int(match[1])
    end = int(match[2]) + 1 if match[2] else size
    if start >= size:
        raise UnsatisfiableRange
    return ByteRange(start=start, end=min(end, size))
