"""Transfer of a request body from the caller to upstreams."""

import asyncio
from collections.abc import AsyncIterator

from tornado.httputil import HTTPMessageDelegate

from mangohatch.errors import RequestError

__all__ = ["REPLAY_BYTES", "RequestBody"]

REPLAY_BYTES = 65_536


class RequestBody(HTTPMessageDelegate):
    """
    Buffers the beginning of a body for replay and streams the rest once.

    The reader of the caller's connection adds chunks. An attempt sends the buffered
    beginning and, when the body is longer, the rest chunk by chunk.
    """

    def __init__(self) -> None:
        self.replay_prefix = bytearray()
        self.complete = False
        self.rest_taken = False
        self.received_bytes = 0
        self._overflow: bytes | None = None
        self._failure: RequestError | None = None
        self._wake_reader: asyncio.Future[None] | None = None
        self._wake_sender: asyncio.Future[None] | None = None

    @property
    def replayable(self) -> bool:
        """Whether another attempt can send the whole body."""
        return not self.rest_taken

    @property
    def has_rest(self) -> bool:
        """Whether more data may follow the buffered beginning."""
        return self._overflow is not None or not self.complete

    async def data_received(self, chunk: bytes) -> None:
        """
        Add a chunk from the reader; waits until the previous chunk was sent.

        :param chunk: next bytes of the body
        """
        self.received_bytes += len(chunk)
        room = REPLAY_BYTES - len(self.replay_prefix)
        self.replay_prefix += chunk[:room]
        chunk = chunk[room:]
        if not chunk:
            return
        while self._overflow is not None:
            self._wake_reader = asyncio.get_running_loop().create_future()
            await self._wake_reader
        self._overflow = chunk
        self._wake(self._wake_sender)

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

    async def prefetch(self) -> None:
        """
        Wait until the body is complete or the replay buffer is full.

        :raises RequestError: when the rest will not arrive
        """
        while not self.complete and self._overflow is None:
            await self._wait_for_reader()

    async def rest(self) -> AsyncIterator[bytes]:
        """
        Stream what follows the buffered beginning; can be called only once.

        :return: chunks in order
        :raises RequestError: when the rest will not arrive
        """
        self.rest_taken = True
        while True:
            if self._overflow is not None:
                chunk = self._overflow
                self._overflow = None
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
