"""Transfer of a request body from the caller to upstreams."""

import asyncio
from collections.abc import AsyncIterator

from tornado.httputil import HTTPMessageDelegate

from mangohatch.entry.replay_memory import ReplayMemory
from mangohatch.errors import CallerGone, RequestError

__all__ = ["REPLAY_BYTES", "RequestBody"]

REPLAY_BYTES = 65_536
PIECE_BYTES = 65_536


class RequestBody(HTTPMessageDelegate):
    """
    Streams a body to an upstream, and keeps it for another attempt.

    The reader of the caller's connection adds chunks. An attempt sends the beginning of
    ``REPLAY_BYTES`` and streams the rest. Bytes beyond the beginning are kept as well
    while there is memory. The first one that is not kept waits until an attempt has
    sent all before it; once it is sent, there is no other attempt.

    :param memory: bounds what the bodies of a host keep; one of its own if None
    """

    def __init__(self, *, memory: ReplayMemory | None = None) -> None:
        self.complete = False
        self.received_bytes = 0
        self.replayable = True
        self._memory = memory or ReplayMemory()
        self._reserved_bytes = 0
        self._kept = bytearray()
        self._keeping = True
        self._overflow: bytes | None = None
        self._failure: RequestError | None = None
        self._wake_reader: asyncio.Future[None] | None = None
        self._wake_sender: asyncio.Future[None] | None = None

    @property
    def beginning(self) -> bytes:
        """The first ``REPLAY_BYTES`` of the body, or all of a shorter one."""
        return bytes(self._kept[:REPLAY_BYTES])

    @property
    def has_rest(self) -> bool:
        """Whether more data may follow the beginning."""
        return not self.complete or self._exceeds_beginning()

    def _exceeds_beginning(self) -> bool:
        return self._overflow is not None or len(self._kept) > REPLAY_BYTES

    async def data_received(self, chunk: bytes) -> None:
        """
        Add a chunk from the reader; waits for its turn to be sent if it isn't kept.

        :param chunk: next bytes of the body
        """
        chunk = self.add_beginning(chunk)
        if not chunk:
            return
        self._keeping = self._keeping and self._memory.take(len(chunk))
        if self._keeping:
            self._reserved_bytes += len(chunk)
            self._kept += chunk
        else:
            while self._overflow is not None:
                self._wake_reader = asyncio.get_running_loop().create_future()
                await self._wake_reader
            self._overflow = chunk
        self._wake(self._wake_sender)

    def add_beginning(self, chunk: bytes) -> bytes:
        """
        Add what belongs to the beginning.

        :param chunk: next bytes of the body
        :return: what follows the beginning
        """
        self.received_bytes += len(chunk)
        room = max(0, REPLAY_BYTES - len(self._kept))
        self._kept += chunk[:room]
        return chunk[room:]

    def end(self) -> None:
        """Mark the end of the body."""
        self.complete = True
        self._wake(self._wake_sender)

    def fail(self, error: RequestError) -> None:
        """
        Record that the rest of the body will not arrive.

        :param error: raised in coroutines that wait for the rest
        """
        self._failure = error
        self._wake(self._wake_sender)
        self._wake(self._wake_reader)

    def release(self) -> None:
        """
        Drop the bytes of a body that no attempt will send any more.

        The objects of an ended request refer to each other, so that they are collected
        long after its end.
        """
        self.fail(CallerGone("the request has ended"))
        self._memory.give_back(self._reserved_bytes)
        self._reserved_bytes = 0
        self._keeping = False
        self._kept = bytearray()
        self._overflow = None

    async def prefetch(self) -> None:
        """
        Wait until the body is complete or longer than its beginning.

        :raises RequestError: when the rest will not arrive
        """
        while not self.complete and not self._exceeds_beginning():
            await self._wait_for_reader()

    async def rest(self) -> AsyncIterator[bytes]:
        """
        Stream what follows the beginning, as it arrives.

        :return: chunks in order
        :raises RequestError: when the rest will not arrive
        """
        position = REPLAY_BYTES
        while True:
            if self._failure is not None:
                raise self._failure
            if position < len(self._kept):
                chunk = bytes(self._kept[position : position + PIECE_BYTES])
                position += len(chunk)
                yield chunk
            elif self._overflow is not None:
                self.replayable = False
                chunk, self._overflow = self._overflow, None
                self._wake(self._wake_reader)
                yield chunk
            elif self.complete:
                return
            else:
                await self._wait_for_reader()

    async def _wait_for_reader(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._wake_sender = asyncio.get_running_loop().create_future()
        await self._wake_sender
        if self._failure is not None:
            raise self._failure

    @staticmethod
    def _wake(fut: asyncio.Future[None] | None) -> None:
        if fut is not None and not fut.done():
            fut.set_result(None)
