"""Values as the platform writes them."""

import re
from typing import Any

from mangohatch.errors import MangohatchError

__all__ = [
    "DocumentError",
    "require_field",
    "parse_address",
    "parse_duration_ms",
    "parse_version",
]

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
VERSION_PATTERN = re.compile(r"r([0-9]{1,18})")
MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}
MAX_PORT = 65_535


class DocumentError(MangohatchError):
    """A document of the platform has a field that is missing or of another type."""

    code = "document_malformed"


def require_field(fields: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    """
    Take a field out of a decoded JSON object.

    :param fields: the object
    :param name: name of the field
    :param kind: type that its value must have
    :return: the value
    :raises DocumentError: when there is none of that type
    """
    value = fields.get(name) if isinstance(fields, dict) else None
    mismatched = not isinstance(value, kind) or (
        isinstance(value, bool) and kind is not bool
    )
    if mismatched:
        raise DocumentError(f"field {name!r} is {type(value).__name__}")
    return value


def parse_duration_ms(text: Any) -> float:
    """
    Read a span of time.

    :param text: a number with its unit, ``1500ms`` or ``2.5s``
    :return: milliseconds
    :raises DocumentError: when it is none
    """
    match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise DocumentError(f"{text!r} is no span of time")
    return float(match[1]) * MS_PER_UNIT[match[2]]


def parse_version(text: Any) -> int:
    """
    Read the number of a version of the configuration.

    :param text: ``r`` and a number
    :return: the number
    :raises DocumentError: when it is none
    """
    match = VERSION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise DocumentError(f"{text!r} is no version")
    return int(match[1])


def parse_address(text: Any) -> tuple[str, int]:
    """
    Read an address.

    :param text: IP address, colon and port
    :return: both parts
    :raises DocumentError: when it is none
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise DocumentError(f"{text!r} is no address with a port")
    return host, int(port)
