"""Sends the content of parts to the hosts that request it, at a bounded rate."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.part import DirectoryPart
from mangohatch.directory.payload import Payload
from mangohatch.directory.pieces import MAX_PIECE_BYTES, make_piece
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.directory import DirectoryMark

__all__ = ["PieceSender"]

MAX_BYTES_MS = 500.0  # 4 of the 5 Mbit/s of the slowest link
MAX_BURST_BYTES = 25_000.0  # the bytes of a tick of 50 ms
MAX_QUEUE_BYTES = 75_000  # sent within a pull's timeout of 150 ms

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True)
class Transfer:
    """Pieces of a payload that are still to be sent to one host."""

    receiver: str
    part: DirectoryPart
    digest: int
    payload: Payload
    numbers: deque[int]


class PieceSender:
    """
    Serves pulls one after the other.

    The link of a small host carries 625 bytes a ms, and a configuration of 1,400 routes
    takes some 30 KB compressed. Pulls that can't be served in time are dropped;
    the hosts turn to others, which by then have the content. ``dropped`` counts them.

    :param clock: source of time
    :param bus: sends the pieces
    :param make_mark: returns the version mark of a part
    """

    def __init__(
        self,
        *,
        clock: Clock,
        bus: PeerBus,
        make_mark: Callable[[DirectoryPart], DirectoryMark],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._make_mark = make_mark
        self._queue: deque[Transfer] = deque()
        self._credit_bytes = MAX_BURST_BYTES
        self._credited_ms = clock.now_ms()
        self.dropped = 0

    def serve(
        self,
        receiver: str,
        part: DirectoryPart,
        payload: Payload,
        numbers: Sequence[int],
    ) -> None:
        """
        Send pieces of a payload to a host, unless too many are waiting.

        :param receiver: id of the host
        :param part: the part
        :param payload: payload with the current content of the part
        :param numbers: numbers of the pieces
        """
        self._queue = deque(
            item
            for item in self._queue
            if (item.receiver, item.part.name) != (receiver, part.name)
        )
        waiting = len(numbers) + sum(len(item.numbers) for item in self._queue)
        if self._queue and waiting * MAX_PIECE_BYTES > MAX_QUEUE_BYTES:
            self.dropped += 1
            log.debug("directory_pull_dropped", peer=receiver, part=part.name)
            return
        transfer = Transfer(
            receiver=receiver,
            part=part,
            digest=part.digest,
            payload=payload,
            numbers=deque(numbers),
        )
        self._queue.append(transfer)
        self.tick()

    def tick(self) -> None:
        """Send as many pieces as the rate allows."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._credited_ms) * MAX_BYTES_MS
        self._credited_ms = now_ms
        self._credit_bytes = min(MAX_BURST_BYTES, self._credit_bytes + gained)
        while self._queue and self._credit_bytes > 0:
            transfer = self._queue[0]
            if not transfer.numbers or transfer.digest != transfer.part.digest:
                self._queue.popleft()
            elif not self._send_piece(transfer):
                self._queue.popleft()

    def _send_piece(self, transfer: Transfer) -> bool:
        mark = self._make_mark(transfer.part)
        piece = make_piece(transfer.payload, mark, transfer.numbers.popleft())
        self._credit_bytes -= len(piece.data)
        try:
            return self._bus.send(transfer.receiver, piece)
        except Exception as exc:
            # The receiver turns to another host.
            log.error(
                "directory_piece_not_sent", peer=transfer.receiver, cause=repr(exc)
            )
            return False
