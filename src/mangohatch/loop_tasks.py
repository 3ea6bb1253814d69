"""Tasks on the asyncio event loop."""

import asyncio
from collections.abc import Iterable
from typing import Any

__all__ = ["cancel_all"]


async def cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """
    Cancel tasks, and wait for their end.

    A task that is only cancelled may be collected after its loop has closed, which
    prints a traceback and skips what its ``finally`` blocks await.

    :param tasks: the tasks; results and errors are dropped
    """
    ended = [*tasks]
    for task in ended:
        task.cancel()
    await asyncio.gather(*ended, return_exceptions=True)
