"""Parses values in the formats of the platform."""

import re
import socket
from functools import lru_cache
from typing import Any

from mangohatch.errors import MangohatchError

__all__ = [
    "MAX_COLD_MS",
    "DocumentError",
    "check_name",
    "check_text",
    "check_whole",
    "describe",
    "parse_address",
    "parse_duration_ms",
    "parse_names",
    "parse_version",
    "require_field",
]

DURATION_PATTERN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)(ms|s)")
VERSION_PATTERN = re.compile(r"r([0-9]{1,18})")
MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
# First bytes of addresses.
IPV4_MULTICAST = range(224, 240)
IPV6_MULTICAST = range(255, 256)
MAX_ADDRESSES = 16_384  # parsed ones that are remembered
MAX_TEXT_CHARACTERS = 256
# A name is sent as the value of a header field.
NAME_PATTERN = re.compile(r"[!-~]{1,256}")
TEXT_PATTERN = re.compile(r"[^\x00-\x1f\x7f\ud800-\udfff]{1,256}")
MAX_SHOWN_CHARACTERS = 40
MAX_SHOWN_NUMBER = 10**MAX_SHOWN_CHARACTERS
MAX_COLD_MS = 3_600_000.0  # the longest cold state that counts as valid


class DocumentError(MangohatchError):
    """A document of the platform has a field that is missing or malformed."""

    code = "document_malformed"


def describe(value: Any) -> str:
    """
    Write a value of unknown type and size for a message.

    Python limits the length of numbers and the depth of lists that it writes out.

    :param value: the value
    :return: text, of a number up to 40 digits or a string up to 40 characters; the type
        of any other value
    """
    if isinstance(value, str):
        shown = repr(value[:MAX_SHOWN_CHARACTERS])
        return f"{shown}..." if len(value) > MAX_SHOWN_CHARACTERS else shown
    if isinstance(value, int) and abs(value) >= MAX_SHOWN_NUMBER:
        return f"a number of {value.bit_length()} bits"
    if value is None or isinstance(value, (int, float)):
        return repr(value)
    if value in ([], {}):
        return repr(value)
    return f"a value of type {type(value).__name__}"


def check_text(key: str, value: Any) -> str:
    """
    Check a text without control characters.

    :param key: name of the field, for the message
    :param value: the value
    :return: the text
    :raises DocumentError: if it is not a text of 1 to 256 Unicode characters
    """
    if isinstance(value, str) and TEXT_PATTERN.fullmatch(value):
        return value
    raise DocumentError(
        f"field {key!r} is {describe(value)}, expected a text of 1 to"
        f" {MAX_TEXT_CHARACTERS} Unicode characters without control characters"
    )


def check_name(key: str, value: Any) -> str:
    """
    Check a name that is sent in header fields.

    :param key: name of the field, for the message
    :param value: the value
    :return: the name
    :raises DocumentError: if it is not 1 to 256 printable ASCII characters without
        spaces
    """
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return value
    raise DocumentError(
        f"field {key!r} is {describe(value)}, expected 1 to {MAX_TEXT_CHARACTERS}"
        " printable ASCII characters without spaces"
    )


def check_whole(key: str, value: Any, lowest: int, highest: int) -> int:
    """
    Check a whole number.

    :param key: name of the field, for the message
    :param value: the value
    :param lowest: lowest valid number
    :param highest: highest valid number
    :return: the number
    :raises DocumentError: if it is not a whole number within the range
    """
    if isinstance(value, int) and not isinstance(value, bool):
        if lowest <= value <= highest:
            return value
    raise DocumentError(
        f"field {key!r} is {describe(value)}, expected a whole number from {lowest} to"
        f" {highest}"
    )


def require_field(fields: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    """
    Return a field of a decoded object and check its type.

    A boolean is not accepted as a number, although ``bool`` is a subclass of ``int``.

    :param fields: the decoded object
    :param name: name of the field
    :param kind: type, or types, that the value may have
    :return: the value
    :raises DocumentError: if the field is missing or has the wrong type
    """
    value = fields.get(name) if isinstance(fields, dict) else None
    mismatched = not isinstance(value, kind) or (
        isinstance(value, bool) and kind is not bool
    )
    if mismatched:
        raise DocumentError(f"field {name!r} has type {type(value).__name__}")
    return value


def parse_duration_ms(text: Any) -> float:
    """
    Parse a duration.

    :param text: a number with its unit, such as ``1500ms`` or ``2.5s``
    :return: the duration in milliseconds
    :raises DocumentError: if the text is not a duration
    """
    match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise DocumentError(
            f"{describe(text)} is not a duration, expected a number with ms or s"
        )
    return float(match[1]) * MS_PER_UNIT[match[2]]


def parse_version(text: Any) -> int:
    """
    Parse the version of a configuration.

    :param text: ``r`` followed by a number
    :return: the number
    :raises DocumentError: if the text is not a version
    """
    match = VERSION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise DocumentError(
            f"{describe(text)} is not a version, expected r and a number"
        )
    return int(match[1])


def parse_address(text: Any) -> tuple[str, int]:
    """
    Parse a network address.

    Host names are refused: to resolve one would block the event loop.

    :param text: IP address, colon and port
    :return: IP address and port
    :raises DocumentError: if the text is not an address with a port
    """
    if isinstance(text, str):
        try:
            return parse_address_text(text)
        except ValueError:
            pass
    raise DocumentError(
        f"{describe(text)} is not an address with a port, expected an IP address, a"
        f" colon and a port from 1 to {MAX_PORT}"
    )


@lru_cache(maxsize=MAX_ADDRESSES)
def parse_address_text(text: str) -> tuple[str, int]:
    """
    Parse the text of a network address.

    :param text: IP address, colon and port
    :return: IP address and port
    :raises ValueError: if the text is not an address with a port
    """
    host, _, port = text.rpartition(":")
    is_ipv6 = ":" in host
    try:
        packed = socket.inet_pton(socket.AF_INET6 if is_ipv6 else socket.AF_INET, host)
    except OSError as exc:
        raise ValueError("no IP address") from exc
    multicast = IPV6_MULTICAST if is_ipv6 else IPV4_MULTICAST
    if packed[0] in multicast or not any(packed):
        raise ValueError("no address of one host")
    if PORT_PATTERN.fullmatch(port) is None or not 0 < int(port) <= MAX_PORT:
        raise ValueError("no port")
    return host, int(port)


def parse_names(fields: dict[str, Any], key: str) -> frozenset[str] | None:
    """
    Parse a list of names that restricts something.

    :param fields: the decoded object
    :param key: name of the field
    :return: the names; None without a restriction, if the list is missing or empty
    :raises DocumentError: if the value is not a list of names
    """
    value = fields.get(key)
    if value is None or value == []:
        return None
    if not isinstance(value, list) or not all(
        isinstance(name, str) and name for name in value
    ):
        raise DocumentError(
            f"field {key!r} is {describe(value)}, expected a list of names"
        )
    return frozenset(value)
