"""Encoding of peer messages as thrift structs in the compact protocol."""

import inspect
import math
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.errors import PeerProtocolError, UnknownMessageKind
from mangohatch.peer.gen import ttypes
from mangohatch.peer.messages import KINDS, message

__all__ = ["Envelope", "decode_body", "decode_envelope", "encode"]

US_PER_MS = 1000
CODEC = TCompactProtocolAccelerated(TMemoryBuffer(b""), fallback=False)


@message
class Envelope:
    """Envelope of a message; ``kind`` names the thrift struct in ``body``."""

    sender: str = ""
    incarnation: int = 0
    sent_wall_us: int = 0
    sent_count: int = 0
    kind: str = ""
    body: bytes = b""


def bind_type(kind: int, arguments: Any) -> Any:
    """
    Replace generated classes with data classes in the arguments of a thrift type.

    :param kind: a ``TType`` constant
    :param arguments: type arguments from the generated field table
    :return: the type arguments with data classes instead of generated classes
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
    Build the field table of a struct with data classes instead of generated classes.

    :param generated: a class generated from ``peer.thrift``
    :return: field table in the format of ``thrift_spec``
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
    Return the data class and the field table of a struct.

    The field table is built and cached on the first call for the struct.

    :param kind: name of the struct
    :return: data class and field table
    :raises KeyError: if this process has no message class of this name
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

    :param body: an instance of a class of :mod:`mangohatch.peer.messages`
    :param sender: id of this host
    :param incarnation: incarnation of this host
    :param time_ms: reading of the hybrid clock, in milliseconds since the epoch
    :param count: tie breaker between readings with the same ``time_ms``
    :return: the encoded envelope
    :raises PeerProtocolError: if the message class has no thrift struct or a field
        does not fit its thrift type
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
    :return: an instance of the data class of the struct
    :raises UnknownMessageKind: if this version has no such kind
    :raises PeerProtocolError: if the bytes do not form the struct
    """
    try:
        binding = find_binding(kind)
    except KeyError as exc:
        raise UnknownMessageKind(f"unknown message kind {kind!r}") from exc
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
    Decode an envelope and leave its body encoded.

    :param data: the encoded envelope
    :return: the envelope
    :raises PeerProtocolError: if the bytes do not form an envelope
    """
    return decode(data, "Envelope")


def decode_body(envelope: Envelope) -> Any:
    """
    Decode the message in an envelope.

    :param envelope: a decoded envelope
    :return: an instance of a class of :mod:`mangohatch.peer.messages`
    :raises UnknownMessageKind: if this version has no message of the kind that the
        envelope names
    :raises PeerProtocolError: if the body does not form a message of that kind
    """
    if not envelope.kind:
        # Bytes of another protocol may read like an envelope without fields.
        raise PeerProtocolError("the envelope names no message kind")
    if envelope.kind == "Envelope":
        raise PeerProtocolError("an envelope cannot contain another envelope")
    return decode(envelope.body, envelope.kind)
