"""Composition of one entry host from its parts."""

import asyncio
import random
import signal

import structlog

from mangohatch.clock import Clock, SystemClock
from mangohatch.config import HostSettings
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.server import EntryServer
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["EntryHost", "run_host"]

TICK_MS = 10.0

log = structlog.get_logger()


class EntryHost:
    """All parts of one entry host, wired together."""

    def __init__(self, *, cfg: HostSettings, clock: Clock) -> None:
        self.cfg = cfg
        self.tables = Tables()
        for spec in cfg.services:
            self.tables.apply(spec, revision=1)
        rng = random.Random()
        self.router = Router(clock=clock, rng=rng, tables=self.tables)
        self.pool = ConnectionPool(clock=clock)
        forwarder = Forwarder(clock=clock, router=self.router, pool=self.pool)
        self.entry = EntryServer(
            host_id=cfg.host_id,
            clock=clock,
            tables=self.tables,
            forwarder=forwarder,
            balancer_delay_ms=cfg.balancer_delay_ms,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stopped.set)
        self.entry.listen(self.cfg.entry.address, self.cfg.entry.port)
        log.info("host_started", host=self.cfg.host_id, zone=self.cfg.zone)
        while not self.entry.drained():
            if stopped.is_set():
                self.entry.begin_drain()
            self.router.tick()
            self.entry.tick()
            await asyncio.sleep(TICK_MS / 1000)
        await self.entry.close()
        self.pool.close()
        log.info("host_stopped", host=self.cfg.host_id)


def run_host(cfg: HostSettings) -> None:
    """
    Run an entry host until it is told to stop.

    :param cfg: checked settings
    """
    import uvloop

    async def serve() -> None:
        await EntryHost(cfg=cfg, clock=SystemClock()).run()

    uvloop.run(serve())
