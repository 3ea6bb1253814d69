"""Bytes of a caller that were not read, or read and not used."""

import select
import socket

from tornado.iostream import IOStream

__all__ = ["drop_unread", "has_left_unread", "has_unread_input"]


def has_left_unread(stream: IOStream) -> bool:
    """
    Return whether a caller has left while bytes that it sent are not read.

    Tornado notices the end of a connection by reading, which waits until what was read
    before is used.

    :param stream: a caller's connection
    :return: whether the other side has closed it, as far as nobody reads from it
    """
    if stream.closed() or stream.reading() or not stream._read_buffer_size:
        return False
    poll = select.poll()
    poll.register(stream.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def drop_unread(stream: IOStream) -> None:
    """
    Drop the bytes that were read from a connection and not used.

    A stream is part of reference cycles, so that it is collected long after its end.

    :param stream: a closed connection of a caller
    """
    stream._read_buffer = bytearray()
    stream._read_buffer_size = 0


def has_unread_input(stream: IOStream) -> bool:
    """
    Return whether the socket of a stream holds bytes that were not read.

    :param stream: a caller's connection
    :return: whether there is input; False at the end of the connection
    """
    if stream.closed():
        return False
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
