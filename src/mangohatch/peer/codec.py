"""Encoding of messages as thrift structs in the compact protocol."""

import inspect
import math
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.errors import PeerProtocolError
from mangohatch.peer.gen import ttypes
from mangohatch.peer.messages import KINDS, message

__all__ = ["Envelope", "decode_body", "decode_envelope", "encode"]

US_PER_MS = 1000
CODEC = TCompactProtocolAccelerated(TMemoryBuffer(b""), fallback=False)


@message
class Envelope:
    """Frame around every message; ``kind`` names the struct in ``body``."""

    sender: str = ""
    incarnation: int = 0
    sent_wall_us: int = 0
    sent_count: int = 0
    kind: str = ""
    body: bytes = b""


def bind_type(kind: int, arguments: Any) -> Any:
    """
    Replace generated classes by data classes in the arguments of a thrift type.

    :param kind: a ``TType``
    :param arguments: type arguments as generated
    :return: the same arguments with data classes
    """
    if kind == TType.STRUCT:
        generated = arguments[0]
        return [KINDS[generated.__name__], bind_spec(generated)]
    if kind in (TType.LIST, TType.SET):
        element, inner, immutable = arguments
        return (element, bind_type(element, inner), immutable)
    if kind == TType.MAP:
        key, key_inner, value, value_inner, immutable = arguments
        key_bound = bind_type(key, key_inner)
        return (key, key_bound, value, bind_type(value, value_inner), immutable)
    return arguments


def bind_spec(generated: Any) -> tuple[Any, ...]:
    """
    Make the field table of a struct with data classes in place of generated ones.

    :param generated: a generated class
    :return: the field table
    """
    return tuple(
        entry and (*entry[:3], bind_type(entry[1], entry[3]), entry[4])
        for entry in generated.thrift_spec
    )


STRUCTS = {
    name: generated
    for name, generated in inspect.getmembers(ttypes, inspect.isclass)
    if hasattr(generated, "thrift_spec")
}
BINDINGS: dict[str, list[Any]] = {}


def find_binding(kind: str) -> list[Any]:
    """
    Find the data class and the field table of a struct, bound at its first use.

    :param kind: name of the struct
    :return: class and field table
    :raises KeyError: when this process has no such message
    """
    binding = BINDINGS.get(kind)
    if binding is None:
        binding = BINDINGS[kind] = [KINDS[kind], bind_spec(STRUCTS[kind])]
    return binding


def encode(
    body: Any, *, sender: str, incarnation: int, time_ms: float, count: int
) -> bytes:
    """
    Encode a message in its envelope.

    :param body: a message, of a class of :mod:`mangohatch.peer.messages`
    :param sender: id of this host
    :param incarnation: incarnation of this host
    :param time_ms: reading of the hybrid clock
    :param count: tie breaker of the reading
    :return: the bytes of one frame
    :raises PeerProtocolError: when a field does not fit its thrift type
    """
    kind = type(body).__name__
    try:
        envelope = Envelope(
            sender=sender,
            incarnation=incarnation,
            sent_wall_us=math.ceil(time_ms * US_PER_MS),
            sent_count=count,
            kind=kind,
            body=CODEC._fast_encode(body, find_binding(kind)),
        )
        return CODEC._fast_encode(envelope, find_binding("Envelope"))
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as exc:
        raise PeerProtocolError(f"{kind} cannot be encoded: {exc}") from exc


def decode(data: bytes, kind: str) -> Any:
    """
    Decode one struct.

    :param data: the encoded struct
    :param kind: name of the struct
    :return: an instance of its data class
    :raises PeerProtocolError: when the bytes do not form the struct
    """
    try:
        binding = find_binding(kind)
    except KeyError as exc:
        raise PeerProtocolError(f"unknown kind of message {kind!r}") from exc
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(data),
        fallback=False,
        string_length_limit=len(data),
        container_length_limit=len(data),
    )
    try:
        return protocol._fast_decode(None, protocol, binding)
    except (TException, TypeError, ValueError, OverflowError, EOFError) as exc:
        raise PeerProtocolError(f"{kind} cannot be decoded: {exc}") from exc


def decode_envelope(data: bytes) -> Envelope:
    """
    Decode the envelope of a frame, its body left encoded.

    :param data: the bytes of one frame
    :return: the envelope
    :raises PeerProtocolError: when the bytes do not form an envelope
    """
    return decode(data, "Envelope")


def decode_body(envelope: Envelope) -> Any:
    """
    Decode the message inside an envelope.

    :param envelope: a decoded envelope
    :return: an instance of a class of :mod:`mangohatch.peer.messages`
    :raises PeerProtocolError: when the body does not form the named message
    """
    if envelope.kind == "Envelope":
        raise PeerProtocolError("an envelope holds no envelope")
    return decode(envelope.body, envelope.kind)
