"""Decodes JSON text piece by piece, so that an unreadable value costs only itself."""

import json
import re
from dataclasses import dataclass
from typing import Any

from mangohatch.platform.values import DocumentError

__all__ = ["Undecoded", "decode_json", "scan_object"]

SPACE = re.compile(r"[ \t\n\r]*")
STRING_PATTERN = r'"[^"\\]*(?:\\.[^"\\]*)*"'
STRING = re.compile(STRING_PATTERN, re.DOTALL)
SCALAR = re.compile(r"[^,\]}\s]+")
# Strings, which may hold brackets, and runs of brackets.
NESTED = re.compile(STRING_PATTERN + r"|[\[{]+|[\]}]+", re.DOTALL)

DECODER = json.JSONDecoder()


@dataclass(slots=True, kw_only=True, frozen=True)
class Undecoded:
    """The text of a value that can't be decoded."""

    text: str


def decode_json(text: str | bytes) -> Any:
    """
    Decode a JSON text.

    :param text: the text, or its bytes in UTF-8
    :return: the decoded value
    :raises DocumentError: if it is not JSON, not Unicode, nested too deeply, or has a
        number with too many digits
    """
    try:
        return json.loads(text if isinstance(text, str) else text.decode())
    except RecursionError:
        raise DocumentError("value is nested too deeply, expected JSON") from None
    except ValueError as exc:
        raise DocumentError(f"value can't be decoded, expected JSON: {exc}") from None


def scan_object(text: str, *, arrays: tuple[str, ...] = ()) -> dict[str, Any]:
    """
    Decode the members of an object one by one.

    :param text: text of the object
    :param arrays: keys of members that are arrays and decoded element by element
    :return: the members; one that can't be decoded is :class:`Undecoded`
    :raises DocumentError: if the text is not an object
    """
    members: dict[str, Any] = {}
    position = expect(text, 0, "{")
    while not text.startswith("}", position):
        key, position = scan_value(text, position)
        position = expect(text, position, ":")
        if key in arrays and text.startswith("[", position):
            value, position = scan_array(text, position)
        else:
            value, position = scan_value(text, position)
        if isinstance(key, str):
            members[key] = value
        if not text.startswith("}", position):
            position = expect(text, position, ",")
    return members


def scan_array(text: str, position: int) -> tuple[list[Any], int]:
    """
    Decode the elements of an array one by one.

    :param text: text that holds the array
    :param position: where it begins
    :return: the elements, and where the next token begins
    :raises DocumentError: if the array does not end
    """
    elements: list[Any] = []
    position = expect(text, position, "[")
    while not text.startswith("]", position):
        value, position = scan_value(text, position)
        elements.append(value)
        if not text.startswith("]", position):
            position = expect(text, position, ",")
    return elements, expect(text, position, "]")


def scan_value(text: str, position: int) -> tuple[Any, int]:
    """
    Decode a value, or find its end if it can't be decoded.

    :param text: text that holds the value
    :param position: where it begins
    :return: the value, and where the next token begins
    :raises DocumentError: if the value does not end
    """
    value: Any
    try:
        value, end = DECODER.raw_decode(text, position)
    except (ValueError, RecursionError):
        end = find_end(text, position)
        value = Undecoded(text=text[position:end])
    return value, skip_space(text, end)


def find_end(text: str, position: int) -> int:
    """
    Find the end of a value without recursion.

    :param text: text that holds the value
    :param position: where it begins
    :return: position after it
    :raises DocumentError: if it does not end
    """
    if not text.startswith(("[", "{"), position):
        match = STRING.match(text, position) or SCALAR.match(text, position)
        if match is None:
            raise DocumentError(f"no value at character {position}, expected JSON")
        return match.end()
    depth = 0
    for match in NESTED.finditer(text, position):
        symbols = match[0]
        if symbols[0] in "[{":
            depth += len(symbols)
        elif symbols[0] in "]}":
            if depth <= len(symbols):
                return match.start() + depth
            depth -= len(symbols)
    raise DocumentError(f"the value at character {position} does not end")


def expect(text: str, position: int, symbol: str) -> int:
    """
    Check the next token.

    :param text: the text
    :param position: where the token begins, or space before it
    :param symbol: the expected token
    :return: where the token after it begins
    :raises DocumentError: if another one is found
    """
    position = skip_space(text, position)
    if not text.startswith(symbol, position):
        raise DocumentError(f"expected {symbol!r} at character {position}")
    return skip_space(text, position + len(symbol))


def skip_space(text: str, position: int) -> int:
    """
    Skip space between tokens.

    :param text: the text
    :param position: where to begin
    :return: position of the next token
    """
    match = SPACE.match(text, position)
    return match.end() if match else position
