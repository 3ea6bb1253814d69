"""Frames on a byte stream: a length of four bytes, then the encoded message."""

from mangohatch.errors import PeerProtocolError

__all__ = ["HEARTBEAT", "MAX_FRAME_BYTES", "FrameReader", "make_frame"]

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
HEARTBEAT = bytes(LENGTH_BYTES)


def make_frame(data: bytes) -> bytes:
    """
    Make a frame by putting the length before an encoded message.

    :param data: the encoded message
    :return: the frame
    :raises PeerProtocolError: if the message exceeds ``MAX_FRAME_BYTES``
    """
    if len(data) > MAX_FRAME_BYTES:
        raise PeerProtocolError(f"message of {len(data)} bytes exceeds the frame limit")
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[bytes]:
        """
        Add received bytes and return the messages that they complete.

        :param chunk: the next bytes of the stream
        :return: complete messages; an empty message is a heartbeat
        :raises PeerProtocolError: if a frame exceeds ``MAX_FRAME_BYTES``
        """
        buffer = self._buffer
        buffer += chunk
        messages = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(buffer[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise PeerProtocolError(
                    f"frame of {length} bytes exceeds the frame limit"
                )
            if len(buffer) - body < length:
                break
            messages.append(bytes(buffer[body : body + length]))
            start = body + length
        del buffer[:start]
        return messages
