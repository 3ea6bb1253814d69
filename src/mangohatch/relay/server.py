"""Relays bytes between peers that are cut off and upstreams."""

import asyncio
import socket
from collections.abc import Callable

import structlog
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from mangohatch.core.paths import PathTable, RelayRefusal
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.upstream_path import ConnectFailure
from mangohatch.errors import PeerProtocolError, UpstreamUnreachable
from mangohatch.loop_tasks import cancel_all, ends_within
from mangohatch.peer.codec import decode_body
from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.peer.messages.relay import RelayAnswer, RelayRequest
from mangohatch.relay.admission import RelayAdmission
from mangohatch.relay.stream import END, LENGTH_BYTES, make_frame
from mangohatch.upstream.dialer import Dialer, open_stream

__all__ = ["RelayServer"]

PIECE_BYTES = 65_536
MAX_BUFFER_BYTES = 2 * PIECE_BYTES
MAX_REQUEST_BYTES = 4_096
REQUEST_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
CONNECT_TIMEOUT_S = 0.1  # the caller of the peer waits meanwhile

log = structlog.get_logger()


class RelayServer(TCPServer):
    """
    Opens connections to upstreams for members, and copies bytes both ways.

    A piece is read only after the one before it was written, so a connection holds a
    bounded number of bytes. When either side ends or breaks, so does the other.
    ``relayed`` counts connections, and ``refused`` requests for one.

    :param bus: knows the members, and encodes messages
    :param admission: decides about requests
    :param paths: receives the results of connections
    """

    def __init__(
        self, *, bus: DatagramPeerBus, admission: RelayAdmission, paths: PathTable
    ) -> None:
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self.relayed = 0
        self.refused = 0
        self._bus = bus
        self._admission = admission
        self._paths = paths
        self._dialer = Dialer(paths=paths)
        self._serving: set[asyncio.Task[None]] = set()

    @property
    def active(self) -> int:
        """The number of connections that are relayed."""
        return self._admission.open

    def leave(self) -> None:
        """Relay no further connections; those that are open go on."""
        self._admission.leaving = True

    async def close(self) -> None:
        """Stop listening and break all connections."""
        self.stop()
        await cancel_all(self._serving)

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """
        Serve one connection of a peer.

        :param stream: the accepted connection
        :param address: remote address of the connection
        """
        handler = asyncio.current_task()
        assert handler is not None
        self._serving.add(handler)
        stream.set_nodelay(True)
        set_keepalive(stream)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                sender, request = await self._read_request(stream, address[0])
            await self._serve(stream, sender, request)
        except (StreamClosedError, TimeoutError):
            pass  # the peer has given up, or is none
        except PeerProtocolError as exc:
            log.warning("relay_request_refused", peer=address[0], cause=str(exc))
            self.refused += 1
        finally:
            stream.close()
            self._serving.discard(handler)

    async def _read_request(
        self, stream: IOStream, address: str
    ) -> tuple[str, RelayRequest]:
        size = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
        if not 0 < size <= MAX_REQUEST_BYTES:
            raise PeerProtocolError(f"relay request of {size} bytes")
        envelope = self._bus.decode_from_member(await stream.read_bytes(size), address)
        request = decode_body(envelope)
        if not isinstance(request, RelayRequest):
            raise PeerProtocolError(f"{envelope.kind} instead of a relay request")
        return envelope.sender, request

    async def _serve(
        self, stream: IOStream, sender: str, request: RelayRequest
    ) -> None:
        upstream = self._admission.admit(request)
        if isinstance(upstream, RelayRefusal):
            await self._refuse(stream, sender, request, upstream)
            return
        self._admission.open += 1
        connection = open_stream()
        try:
            if not await self._connect(upstream, connection):
                cut_off = self._paths.suspects_itself()
                cause = RelayRefusal.CUT_OFF if cut_off else RelayRefusal.UNREACHABLE
                await self._refuse(stream, sender, request, cause)
                return
            self.relayed += 1
            log.info(
                "relay_opened",
                peer=sender,
                service=upstream.service,
                upstream=upstream.name,
            )
            await self._send_answer(stream, "")
            zones = upstream.zones
            await relay(
                stream,
                connection,
                is_closed=lambda: zones.is_evacuated(upstream.zone),
            )
        finally:
            self._admission.open -= 1
            connection.close()

    async def _connect(self, upstream: UpstreamRow, connection: IOStream) -> bool:
        opening = asyncio.create_task(self._dialer.open(upstream, connection))
        try:
            if not await ends_within(opening, CONNECT_TIMEOUT_S):
                self._paths.record_failed(upstream, ConnectFailure.TIMED_OUT)
                return False
            await opening
        except UpstreamUnreachable:
            return False
        finally:
            opening.cancel()
        return True

    async def _refuse(
        self,
        stream: IOStream,
        sender: str,
        request: RelayRequest,
        cause: RelayRefusal,
    ) -> None:
        self.refused += 1
        log.info(
            "relay_refused",
            peer=sender,
            service=request.service_name,
            upstream=request.upstream,
            cause=str(cause),
        )
        await self._send_answer(stream, cause)

    async def _send_answer(self, stream: IOStream, refusal: str) -> None:
        frame = make_frame(self._bus.encode(RelayAnswer(refusal=str(refusal))))
        await stream.write(make_frame(frame))


def set_keepalive(stream: IOStream) -> None:
    """
    Let a connection end whose other side has lost its power.

    :param stream: the connection
    """
    sock = stream.socket
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def relay(
    peer: IOStream, upstream: IOStream, *, is_closed: Callable[[], bool]
) -> None:
    """
    Copy bytes both ways until either side ends.

    :param peer: connection of the peer, which sends plain bytes and receives frames
    :param upstream: connection to the upstream
    :param is_closed: returns whether the upstream receives no new requests; a request
        in progress goes on, and the next one ends the connection
    """
    idle = True

    def frame_request(piece: bytes) -> bytes:
        nonlocal idle
        if idle and is_closed():
            raise StreamClosedError
        idle = False
        return piece

    def frame_response(piece: bytes) -> bytes:
        nonlocal idle
        idle = True
        return make_frame(piece)

    tasks = [
        asyncio.create_task(copy(peer, upstream, frame=frame_request)),
        asyncio.create_task(copy(upstream, peer, frame=frame_response)),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if upstream.closed() and not peer.closed():
            await tasks[1]  # what the upstream had sent before it closed
            if upstream.error is None:
                await write_end(peer)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def copy(
    source: IOStream, target: IOStream, *, frame: Callable[[bytes], bytes]
) -> None:
    """
    Copy bytes until one of the streams closes.

    :param source: stream to read
    :param target: stream to write
    :param frame: converts each piece to what is written, or ends the copying by
        raising StreamClosedError
    """
    try:
        while True:
            await target.write(
                frame(await source.read_bytes(PIECE_BYTES, partial=True))
            )
    except StreamClosedError:
        return


async def write_end(peer: IOStream) -> None:
    """
    Tell a peer that its upstream has closed the connection in an orderly way.

    :param peer: connection of the peer
    """
    try:
        await peer.write(END)
    except StreamClosedError:
        return
