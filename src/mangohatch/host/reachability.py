"""Reachability of upstreams over TCP."""

import asyncio
from collections.abc import Callable

from mangohatch.core.draining import ReachabilityProbe

__all__ = ["TcpReachability"]

CONNECT_TIMEOUT_S = 0.5


class TcpReachability(ReachabilityProbe):
    """Opens a TCP connection to an upstream and closes it without sending data."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, address: str, port: int, done: Callable[[bool], None]) -> None:
        task = asyncio.get_running_loop().create_task(connect(address, port, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def connect(address: str, port: int, done: Callable[[bool], None]) -> None:
    """
    Try once to connect, for at most :data:`CONNECT_TIMEOUT_S`.

    :param address: IP address of the upstream
    :param port: TCP port of the upstream
    :param done: called with whether the connection was accepted
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address, port)
    except (OSError, TimeoutError):
        done(False)
        return
    writer.close()
    done(True)
