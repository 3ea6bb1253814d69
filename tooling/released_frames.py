"""
Writes what the program on the import path sends to other hosts, for later releases.

The files are kept for each released version, and tests read them with newer code. The
command uses only what every release has, so that it also runs on older code.
"""

import dataclasses
import importlib
import json
import pkgutil
import sys
import types
import typing
from pathlib import Path
from typing import Any

from mangohatch.directory.part import PartItem
from mangohatch.directory.payload import Delta, Payload
from mangohatch.peer import messages
from mangohatch.peer.codec import STRUCTS, encode
from mangohatch.platform.entries import normalize_upstream

__all__ = ["fill", "list_kinds", "write_release"]

SENDER = "h1"
INCARNATION = 1_700_000_000_000
SENT_MS = 1_700_000_100_000.0
SENT_COUNT = 3
WALL_MS = 1_700_000_200_000.0
COLUMNS = 80
# An entry as upstreams of the platform register it.
UPSTREAM_ENTRY = {
    "address": "10.0.0.7:8080",
    "born": 1_700_000_000_500,
    "info": {"service": "desk", "zone": "norte", "slots": 2},
    "status": {"state": "ready", "cold_remaining": "2500ms"},
}


def list_kinds() -> dict[str, type]:
    """
    Load all message classes.

    :return: classes by the name of their struct, without the envelope
    """
    for module in pkgutil.iter_modules(messages.__path__):
        importlib.import_module(f"{messages.__name__}.{module.name}")
    kinds = {name: kind for name, kind in messages.KINDS.items() if name in STRUCTS}
    kinds.pop("Envelope")
    return dict(sorted(kinds.items()))


def fill(hint: Any, label: str, number: int) -> Any:
    """
    Make a value that is unlikely to be the default of its field.

    :param hint: type of the value
    :param label: text from which strings are made
    :param number: number from which numbers are made, positive
    :return: the value; lists and maps have one entry
    """
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is types.UnionType:
        return fill(arguments[0], label, number)  # an optional field, which is set
    if origin is list:
        return [fill(arguments[0], label, number)]
    if origin is dict:
        key, value = arguments
        return {fill(key, label, number): fill(value, label, number)}
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        return hint(
            **{
                name: fill(inner, f"{hint.__name__}.{name}", number + position)
                for position, (name, inner) in enumerate(hints.items(), 1)
            }
        )
    values = {int: number, float: number + 0.5, str: label, bytes: label.encode()}
    return True if hint is bool else values[hint]


def describe_type(kind: int, arguments: Any) -> Any:
    """
    Describe a type of the wire format.

    :param kind: a ``TType`` constant
    :param arguments: type arguments from the generated field table
    :return: the constant; with the name of the struct, or with the inner types
    """
    if isinstance(arguments, list):
        return [kind, arguments[0].__name__]
    if isinstance(arguments, tuple):
        if len(arguments) == 3:
            return [kind, describe_type(arguments[0], arguments[1])]
        key, value = arguments[:2], arguments[2:4]
        return [kind, describe_type(*key), describe_type(*value)]
    return kind


def describe_structs() -> dict[str, dict[str, Any]]:
    """
    Describe the fields of all structs.

    :return: by struct and number of the field, its name and its type
    """
    return {
        struct: {
            str(entry[0]): {"name": entry[2], "type": describe_type(entry[1], entry[3])}
            for entry in generated.thrift_spec
            if entry
        }
        for struct, generated in sorted(STRUCTS.items())
    }


def make_frame(kind: type) -> tuple[bytes, Any]:
    """
    Encode a message with all fields set.

    :param kind: a message class
    :return: the encoded envelope, and the message as a dictionary
    """
    message = fill(kind, kind.__name__, 10)
    frame = encode(
        message,
        sender=SENDER,
        incarnation=INCARNATION,
        time_ms=SENT_MS,
        count=SENT_COUNT,
    )
    return frame, dataclasses.asdict(message)


def make_records() -> dict[str, Any]:
    """
    Make the records that a host which reads the store sends to others.

    :return: the entry of an upstream before and after the reading, and a payload
    """
    text = normalize_upstream(UPSTREAM_ENTRY, wall_ms=WALL_MS, previous_json=None)
    item = PartItem(name="i-7", revision=41, json=text)
    payload = Payload.encode(Delta(items=[item], removed=["i-6"]), base=12)
    return {
        "entry": UPSTREAM_ENTRY,
        "normalized": text,
        "payload": payload.data.hex(),
        "payload_digest": payload.digest,
    }


def write_json(path: Path, content: Any) -> None:
    """
    Write a JSON document.

    :param path: path of the file
    :param content: the document; bytes become hexadecimal text
    """
    text = json.dumps(content, indent=1, sort_keys=True, default=bytes.hex)
    path.write_text(f"{text}\n", encoding="utf-8")


def write_release(directory: Path) -> int:
    """
    Write the frames, fields and records of this version.

    :param directory: directory of the release; must not exist, as releases are final
    :return: number of message kinds
    :raises FileExistsError: if the directory exists
    """
    directory.mkdir(parents=True)
    values = {}
    kinds = list_kinds()
    for name, kind in kinds.items():
        frame, values[name] = make_frame(kind)
        text = frame.hex()
        lines = [text[i : i + COLUMNS] for i in range(0, len(text), COLUMNS)]
        (directory / f"{name}.hex").write_text("\n".join(lines) + "\n")
    write_json(directory / "fields.json", describe_structs())
    write_json(directory / "values.json", values)
    write_json(directory / "records.json", make_records())
    return len(kinds)


if __name__ == "__main__":
    print(f"{write_release(Path(sys.argv[1]))} kinds of messages")
