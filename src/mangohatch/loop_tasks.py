"""Tasks on the asyncio event loop."""

import asyncio
from collections.abc import Iterable
from typing import Any

__all__ = ["cancel_all", "ends_within"]

LATE_S = 0.02  # delay of a timer that shows that the loop stood still


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


async def ends_within(task: asyncio.Task[Any], timeout_s: float) -> bool:
    """
    Wait for a task, and for a moment longer if the loop stood still meanwhile.

    A loop that stood still runs the timer of a time-out before it reads what has
    arrived, so that the time-out would blame the other side.

    :param task: the task, which goes on if it does not end
    :param timeout_s: longest time to wait, in seconds
    :return: whether the task has ended
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + timeout_s
    await asyncio.wait([task], timeout=timeout_s)
    if not task.done() and loop.time() - due_s > LATE_S:
        await asyncio.wait([task], timeout=LATE_S)
    return task.done()
