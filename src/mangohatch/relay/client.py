"""Opens connections to upstreams through a peer."""

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from mangohatch.core.paths import RelayRefusal
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import PeerProtocolError
from mangohatch.peer.codec import decode_body, decode_envelope
from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.peer.messages.relay import RelayAnswer, RelayRequest
from mangohatch.relay.stream import LENGTH_BYTES, RelayStream, make_frame
from mangohatch.upstream.dialer import open_stream

__all__ = ["RelayClient", "RelayFailed"]

MAX_ANSWER_BYTES = 4_096


class RelayFailed(Exception):
    """A peer opened no connection; ``refusal`` is None if it did not answer."""

    def __init__(self, refusal: RelayRefusal | None) -> None:
        self.refusal = refusal
        super().__init__(refusal or "unanswered")


class RelayClient:
    """
    Asks peers for connections to upstreams.

    :param bus: knows the addresses of peers, and encodes messages
    """

    def __init__(self, *, bus: DatagramPeerBus) -> None:
        self._bus = bus

    async def open(self, peer: str, upstream: UpstreamRow) -> IOStream:
        """
        Open a connection to an upstream through a peer.

        :param peer: host id of the peer
        :param upstream: the upstream
        :return: a stream that carries the bytes of the upstream
        :raises RelayFailed: when the peer opened no connection
        """
        address = self._bus.address_of(peer)
        if address is None:
            raise RelayFailed(None)
        stream = open_stream(RelayStream)
        # The peer admits members by their address.
        stream.socket.bind((self._bus.address[0], 0))
        try:
            await self._ask(stream, address, upstream)
        except BaseException:
            stream.close()
            raise
        return stream

    async def _ask(
        self, stream: IOStream, address: tuple[str, int], upstream: UpstreamRow
    ) -> None:
        request = RelayRequest(
            service_name=upstream.service,
            upstream=upstream.name,
            address=upstream.address,
            port=upstream.port,
            started_ms=upstream.started_ms,
        )
        try:
            await stream.connect(address)
            await stream.write(make_frame(self._bus.encode(request)))
            size = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
            if size > MAX_ANSWER_BYTES:
                raise PeerProtocolError(f"answer of {size} bytes to a relay request")
            answer = decode_body(decode_envelope(await stream.read_bytes(size)))
            if not isinstance(answer, RelayAnswer):
                raise PeerProtocolError("no answer to a relay request")
            if answer.refusal:
                raise RelayFailed(RelayRefusal(answer.refusal))
        except (
            OSError,
            PeerProtocolError,
            StreamClosedError,
            UnsatisfiableReadError,
            ValueError,
        ) as exc:
            raise RelayFailed(None) from exc
