"""Parses values in the formats of the platform."""

import re
from typing import Any

from mangohatch.errors import MangohatchError

__all__ = [
    "MAX_COLD_MS",
    "DocumentError",
    "parse_address",
    "parse_duration_ms",
    "parse_names",
    "parse_version",
    "require_field",
]

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
VERSION_PATTERN = re.compile(r"r([0-9]{1,18})")
MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}
MAX_PORT = 65_535
MAX_COLD_MS = 3_600_000.0  # the longest cold state that counts as valid


class DocumentError(MangohatchError):
    """A document of the platform has a field that is missing or malformed."""

    code = "document_malformed"


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
        raise DocumentError(f"{text!r} is not a duration")
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
        raise DocumentError(f"{text!r} is not a version")
    return int(match[1])


def parse_address(text: Any) -> tuple[str, int]:
    """
    Parse a network address.

    :param text: IP address, colon and port
    :return: IP address and port
    :raises DocumentError: if the text is not an address with a port
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise DocumentError(f"{text!r} is not an address with a port")
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
        raise DocumentError(f"field {key!r} is {value!r}, expected a list of names")
    return frozenset(value)
