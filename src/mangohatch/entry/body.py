"""A request body on its way from the caller to an upstream."""

import asyncio
from collections.abc import AsyncIterator

__all__ = ["RequestBody"]

QUEUE_CHUNKS = 1


class RequestBody:
    """Hands chunks from the reader to the sender, one at a time."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue(QUEUE_CHUNKS)

    async def put(self, chunk: bytes) -> None:
        """
        Add a chunk; waits until the sender has taken the one before.

        :param chunk: bytes in order
        """
        await self._queue.put(chunk)

    async def end(self) -> None:
        """Mark the end of the body."""
        await self._queue.put(None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """
        Iterate over the chunks.

        :return: the body in order
        """
        while (chunk := await self._queue.get()) is not None:
            yield chunk
