"""The event loop of all processes."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

__all__ = ["run_loop"]

T = TypeVar("T")


def run_loop(main: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine in an event loop of uvloop.

    Releases of uvloop after 0.17 bundle a libuv that sets up an io_uring whatever
    its settings, therefore the release is pinned.

    :param main: the coroutine
    :return: its result
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
