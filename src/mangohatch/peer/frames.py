"""Frames on a byte stream: four bytes of length, then the bytes of a message."""

from mangohatch.errors import PeerProtocolError

__all__ = ["HEARTBEAT", "MAX_FRAME_BYTES", "FrameReader", "make_frame"]

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
HEARTBEAT = bytes(LENGTH_BYTES)


def make_frame(data: bytes) -> bytes:
    """
    Put the length before a message.

    :param data: the encoded message
    :return: the frame
    :raises PeerProtocolError: when the message is too large
    """
    if len(data) > MAX_FRAME_BYTES:
        raise PeerProtocolError(f"message of {len(data)} bytes is too large")
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Cuts a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[bytes]:
        """
        Take bytes off the stream.

        :param chunk: the next bytes
        :return: complete messages; an empty one is a heartbeat
        :raises PeerProtocolError: when a frame is too large
        """
        buffer = self._buffer
        buffer += chunk
        messages = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(buffer[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise PeerProtocolError(f"frame of {length} bytes is too large")
            if len(buffer) - body < length:
                break
            messages.append(bytes(buffer[body : body + length]))
            start = body + length
        del buffer[:start]
        return messages
