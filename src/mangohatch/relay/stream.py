"""Byte stream of an upstream in frames, whose end is told from a broken relay."""

import errno

from tornado.iostream import IOStream

__all__ = ["END", "LENGTH_BYTES", "RelayStream", "make_frame"]

LENGTH_BYTES = 4
END = bytes(LENGTH_BYTES)  # a frame of no bytes: the upstream closed its connection


def make_frame(data: bytes) -> bytes:
    """
    Put the length before the content of a frame.

    :param data: the content, not empty
    :return: the frame
    """
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class RelayStream(IOStream):
    """
    A connection to a peer that reads like a direct connection to an upstream.

    What arrives is in frames. A connection that ends without an end frame counts as
    reset, so that a relay that breaks off does not look like an upstream that closes.
    """

    _frame_rest = 0
    _length = b""

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        while not self._frame_rest:
            missing = LENGTH_BYTES - len(self._length)
            try:
                data = self.socket.recv(missing)
            except BlockingIOError:
                return None
            if not data:
                raise self._broken()
            self._length += data
            if len(self._length) < LENGTH_BYTES:
                continue
            self._frame_rest = int.from_bytes(self._length, "big")
            self._length = b""
            if not self._frame_rest:
                return 0
        with memoryview(buf) as view, view[: self._frame_rest] as part:
            size = super().read_from_fd(part)
        if size == 0:
            raise self._broken()
        if size is not None:
            self._frame_rest -= size
        return size

    def _broken(self) -> ConnectionResetError:
        return ConnectionResetError(errno.ECONNRESET, "the relay broke off")
