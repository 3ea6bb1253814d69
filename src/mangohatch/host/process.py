"""The process of an entry host."""

import asyncio
import signal

from mangohatch.clock import SystemClock
from mangohatch.config import HostSettings
from mangohatch.held_signals import held
from mangohatch.host.entry_host import EntryHost
from mangohatch.loop import run_loop

__all__ = ["run_host"]


def run_host(cfg: HostSettings) -> None:
    """
    Run an entry host until SIGTERM or SIGINT, then drain it and return.

    :param cfg: validated settings
    """

    async def serve() -> None:
        leaving = asyncio.Event()
        loop = asyncio.get_running_loop()
        handlers = {signal.SIGTERM: leaving.set, signal.SIGINT: leaving.set}
        held.deliver(loop, handlers)
        await EntryHost(cfg=cfg, clock=SystemClock()).run(leaving)

    run_loop(serve())
