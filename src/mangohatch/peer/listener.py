"""Listening side of links, which reads frames and echoes heartbeats."""

from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from mangohatch.clock import Clock
from mangohatch.errors import PeerProtocolError
from mangohatch.peer.counters import HEARTBEAT_KIND, PeerCounters
from mangohatch.peer.frames import HEARTBEAT, FrameReader

__all__ = ["PeerListener"]

READ_BYTES = 65_536


class PeerListener(TCPServer):
    """
    Accepts connections of peers.

    :param clock: source of time
    :param counters: counters of heartbeats and malformed frames
    :param on_frame: called with each received message, without its frame length
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: PeerCounters,
        on_frame: Callable[[bytes], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._counters = counters
        self._on_frame = on_frame
        self._streams: dict[IOStream, float] = {}

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """
        Read a connection until it ends.

        :param stream: the accepted connection
        :param address: remote address of the connection
        """
        stream.set_nodelay(True)
        reader = FrameReader()
        try:
            while True:
                self._streams[stream] = self._clock.now_ms()
                chunk = await stream.read_bytes(READ_BYTES, partial=True)
                self.handle_frames(stream, reader.feed(chunk))
        except StreamClosedError:
            pass
        except PeerProtocolError:
            self._counters.dropped["malformed"] += 1
        finally:
            stream.close()
            self._streams.pop(stream, None)

    def handle_frames(self, stream: IOStream, frames: list[bytes]) -> None:
        """
        Handle the messages of one read, and echo heartbeats.

        :param stream: the connection on which they were received
        :param frames: complete messages; empty messages are heartbeats
        """
        for frame in frames:
            if frame:
                self._on_frame(frame)
            else:
                self._counters.record_received(HEARTBEAT_KIND, len(HEARTBEAT))
                self._counters.record_sent(HEARTBEAT_KIND, len(HEARTBEAT))
                stream.write(HEARTBEAT)

    def close_idle(self, now_ms: float, idle_ms: float) -> None:
        """
        Close connections on which no data has arrived for a given time.

        :param now_ms: monotonic time in milliseconds
        :param idle_ms: time without received data, in milliseconds
        """
        for stream, last_read_ms in list(self._streams.items()):
            if now_ms - last_read_ms >= idle_ms:
                stream.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for stream in list(self._streams):
            stream.close()
