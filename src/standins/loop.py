"""The event loop of stand-ins, demo and live bench."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

__all__ = ["run"]

T = TypeVar("T")


def run(main: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine in a loop of its own.

    :param main: the coroutine
    :return: its result
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
