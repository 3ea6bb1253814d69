"""Lets a host of today send and receive only what a released version knows."""

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.peer.codec import CODEC, decode_envelope, find_binding
from tests.peer.released_frames import RawProtocol

__all__ = ["make_older", "reduce_frame"]

PLAIN = {
    TType.BOOL: "Bool",
    TType.BYTE: "Byte",
    TType.I16: "I16",
    TType.I32: "I32",
    TType.I64: "I64",
    TType.DOUBLE: "Double",
}


class RawWriter(TCompactProtocol):
    """Writes binary fields and text alike."""

    def writeString(self, data):
        self.writeBinary(data)


def make_older(host, release):
    """
    Make a simulated host behave on the network like one of a released version.

    Messages of other kinds are dropped on their way in and out, and other fields are
    left out, as by the decoder of that version.

    :param host: a simulated host
    :param release: the release
    :return: a dictionary that counts the dropped messages by kind
    """
    dropped = {}
    port = host.port
    receive, send = port._receive, port.sendto

    def reduce(data):
        kind = decode_envelope(data).kind
        if kind not in release.frames:
            dropped[kind] = dropped.get(kind, 0) + 1
            return None
        return reduce_frame(data, release)

    def receive_reduced(data, sender):
        data = reduce(data)
        if data is not None:
            receive(data, sender)

    def send_reduced(data, addr=None):
        data = reduce(data)
        if data is not None:
            send(data, addr)

    port._receive = receive_reduced
    port.sendto = send_reduced
    return dropped


def reduce_frame(data, release):
    """
    Leave out the fields of a frame that a released version does not have.

    :param data: the encoded envelope
    :param release: the release, which has the kind of the message
    :return: the encoded envelope
    """
    envelope = decode_envelope(data)
    buffer = TMemoryBuffer()
    source = RawProtocol(TMemoryBuffer(envelope.body))
    copy_struct(source, RawWriter(buffer), envelope.kind, release)
    envelope.body = buffer.getvalue()
    return CODEC._fast_encode(envelope, find_binding("Envelope"))


def copy_struct(source, target, struct, release):
    known = release.fields[struct]
    source.readStructBegin()
    target.writeStructBegin(struct)
    while True:
        _, kind, number = source.readFieldBegin()
        if kind == TType.STOP:
            break
        field = known.get(str(number))
        if field is None:
            source.skip(kind)
        else:
            target.writeFieldBegin("", kind, number)
            copy_value(source, target, field["type"], release)
            target.writeFieldEnd()
        source.readFieldEnd()
    source.readStructEnd()
    target.writeFieldStop()
    target.writeStructEnd()


def copy_value(source, target, described, release):
    kind = described[0] if isinstance(described, list) else described
    if kind == TType.STRUCT:
        copy_struct(source, target, described[1], release)
    elif kind == TType.LIST:
        element, size = source.readListBegin()
        target.writeListBegin(element, size)
        for _ in range(size):
            copy_value(source, target, described[1], release)
        source.readListEnd()
        target.writeListEnd()
    elif kind == TType.MAP:
        key, value, size = source.readMapBegin()
        target.writeMapBegin(key, value, size)
        for _ in range(size):
            copy_value(source, target, described[1], release)
            copy_value(source, target, described[2], release)
        source.readMapEnd()
        target.writeMapEnd()
    elif kind == TType.STRING:
        target.writeBinary(source.readBinary())
    else:
        name = PLAIN[kind]
        getattr(target, f"write{name}")(getattr(source, f"read{name}")())
