"""The event loop that all processes use."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

__all__ = ["run_loop"]

T = TypeVar("T")


def run_loop(main: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine in a new uvloop event loop.

    The uvloop version is pinned, because releases after 0.17 bundle a libuv that sets
    up an io_uring regardless of its settings.

    :param main: the coroutine to run
    :return: the result of the coroutine
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
