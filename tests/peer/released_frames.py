"""Reads what released versions have written, and compares it with today's code."""

import json
from pathlib import Path

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.errors import PeerProtocolError
from mangohatch.peer.codec import STRUCTS, decode_body, decode_envelope
from tooling.released_frames import list_kinds, make_frame

__all__ = ["Release", "find_read_errors", "find_write_errors", "list_releases"]

RELEASED = Path(__file__).parent / "released"


class Release:
    """The frames, fields and records of a released version."""

    def __init__(self, path):
        self.name = path.name
        self.fields = read_json(path / "fields.json")
        self.values = read_json(path / "values.json")
        self.records = read_json(path / "records.json")
        self.frames = {
            file.stem: bytes.fromhex("".join(file.read_text().split()))
            for file in sorted(path.glob("*.hex"))
        }


def read_json(path):
    return json.loads(path.read_text(encoding="utf-8"))


def list_releases():
    return [Release(path) for path in sorted(RELEASED.iterdir()) if path.is_dir()]


def find_read_errors(release):
    """
    Find what today's code does not read from the frames of a release.

    :param release: the release
    :return: texts with the release, the message and the field
    """
    list_kinds()  # makes them known to the decoder
    errors = []
    for kind, frame in release.frames.items():
        try:
            envelope = decode_envelope(frame)
            message = decode_body(envelope)
        except PeerProtocolError as exc:
            errors.append(f"{release.name} {kind}: {exc}")
            continue
        if envelope.kind != kind or not envelope.sender or not envelope.sent_count:
            errors.append(f"{release.name} {kind}: the envelope is not read")
        errors += compare(message, release.values[kind], f"{release.name} {kind}")
    return errors


def compare(found, expected, where):
    """Compare a decoded value with what was written; added fields are accepted."""
    if isinstance(expected, dict) and not isinstance(found, dict):
        return [
            error
            for name, value in expected.items()
            for error in compare(getattr(found, name, None), value, f"{where}.{name}")
        ]
    if isinstance(expected, list) and isinstance(found, list):
        if len(expected) != len(found):
            return [f"{where}: {len(found)} items, expected {len(expected)}"]
        return [
            error
            for one, other in zip(found, expected)
            for error in compare(one, other, where)
        ]
    if isinstance(found, bytes):
        found = found.hex()
    return [] if found == expected else [f"{where}: {found!r}, expected {expected!r}"]


def find_write_errors(release):
    """
    Find what readers of a release miss in today's frames.

    :param release: the release
    :return: texts with the release, the message and the field
    """
    kinds = list_kinds()
    errors = []
    for kind in release.frames:
        if kind not in kinds:
            errors.append(f"{release.name} {kind}: the kind does not exist any more")
            continue
        frame, _ = make_frame(kinds[kind])
        envelope = decode_envelope(frame)
        for struct, data in (("Envelope", frame), (kind, envelope.body)):
            scan = Scan(release)
            scan.read_struct(RawProtocol(TMemoryBuffer(data)), struct)
            errors += scan.errors
    return [*dict.fromkeys(errors)]  # a struct may be part of several messages


class RawProtocol(TCompactProtocol):
    """Skips binary fields, which are not valid text."""

    def readString(self):
        return self.readBinary()


class Scan:
    """Reads the fields of encoded structs as a reader of a release does."""

    def __init__(self, release):
        self.errors = []
        self._release = release

    def read_struct(self, protocol, struct):
        expected = self._release.fields[struct]
        names = {
            str(entry[0]): entry[2] for entry in STRUCTS[struct].thrift_spec if entry
        }
        seen = set()
        protocol.readStructBegin()
        while True:
            _, kind, number = protocol.readFieldBegin()
            if kind == TType.STOP:
                break
            field = expected.get(str(number))
            if field is None:
                protocol.skip(kind)
            else:
                self._read_field(protocol, struct, field, kind)
                seen.add(str(number))
            protocol.readFieldEnd()
        protocol.readStructEnd()
        for number, field in expected.items():
            where = f"{self._release.name} {struct}.{field['name']}"
            if number not in seen:
                self.errors.append(f"{where}: field {number} is not written any more")
            elif names[number] != field["name"]:
                text = f"number {number} is used for {names[number]}"
                self.errors.append(f"{where}: {text}")

    def _read_field(self, protocol, struct, field, kind):
        expected = field["type"]
        outer = expected[0] if isinstance(expected, list) else expected
        if kind != outer:
            where = f"{self._release.name} {struct}.{field['name']}"
            self.errors.append(f"{where}: type {kind}, expected {outer}")
            protocol.skip(kind)
        elif kind == TType.STRUCT:
            self.read_struct(protocol, expected[1])
        elif kind == TType.LIST and isinstance(expected[1], list):
            _, size = protocol.readListBegin()
            for _ in range(size):
                self.read_struct(protocol, expected[1][1])
            protocol.readListEnd()
        else:
            protocol.skip(kind)
