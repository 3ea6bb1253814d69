"""Tests of tasks on a loop that stands still."""

import asyncio
import time

from mangohatch.loop_tasks import cancel_all, ends_within
from tests.functions import function_tests

load_tests = function_tests(__name__)

TIMEOUT_S = 0.1
STILL_S = 0.2


async def wait_while_still(arrives_s):
    """Wait for what arrives while the loop stands still beyond the time-out."""
    loop = asyncio.get_running_loop()
    arrival = loop.create_future()
    loop.call_later(arrives_s, arrival.set_result, None)
    loop.call_soon(time.sleep, STILL_S)

    async def wait():
        await arrival

    task = asyncio.create_task(wait())
    ended = await ends_within(task, TIMEOUT_S)
    await cancel_all([task])
    return ended


async def test_what_arrived_while_the_loop_stood_still_is_seen():
    # A peer refused to relay to an upstream that had accepted its connection, because
    # the time-out ran first.
    assert await wait_while_still(TIMEOUT_S - 0.01)
    assert await wait_while_still(TIMEOUT_S + 0.01)


async def test_task_that_does_not_end_is_given_up_in_time():
    began_s = time.monotonic()
    task = asyncio.create_task(asyncio.Event().wait())
    assert not await ends_within(task, TIMEOUT_S)
    assert time.monotonic() - began_s >= TIMEOUT_S
    await cancel_all([task])
    assert task.cancelled()
