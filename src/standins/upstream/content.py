"""Bodies whose correctness a caller can check."""

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
    """The range lies outside the body."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ByteRange:
    """Bytes from ``start`` up to, not including, ``end``."""

    start: int
    end: int


def digest(text: str) -> bytes:
    """
    Hash a text.

    :param text: the text
    :return: 32 bytes
    """
    return hashlib.sha256(text.encode()).digest()


def answer_body(request_id: str, path: str, upstream: str, padding: int) -> bytes:
    """
    Make the answer to a request; it names the request and has a checksum.

    :param request_id: the caller's id
    :param path: path of the request
    :param upstream: name of the upstream
    :param padding: bytes of filling
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
    Check that an answer is whole and belongs to a request.

    :param body: the body that a caller got
    :param request_id: the caller's id
    :param path: path of the request
    :return: whether it does
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
    Make the strong entity tag of a download.

    :param name: path of the download
    :param size: its length
    :param version: version of the content
    :return: the tag with its quotes
    """
    return f'"{digest(f"{name} {size} {version}").hex()[:24]}"'


def download_bytes(name: str, version: int, start: int, end: int) -> bytes:
    """
    Make a part of a download.

    :param name: path of the download
    :param version: version of the content
    :param start: first byte
    :param end: byte after the last
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
    Read a Range header of a single range with a start.

    :param value: the header
    :param size: length of the whole body
    :return: the range; None when the header has another form and is ignored
    :raises UnsatisfiableRange: when the range begins after the body
    """
    match = RANGE_PATTERN.match(value)
    if match is None:
        return None
    start = int(match[1])
    end = int(match[2]) + 1 if match[2] else size
    if start >= size:
        raise UnsatisfiableRange
    return ByteRange(start=start, end=min(end, size))
