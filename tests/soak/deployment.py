"""Real hosts between upstreams, a store and callers, for tests of one trouble each."""

import asyncio
import contextlib
import random
import signal
import tempfile
from pathlib import Path

from standins.host_processes import Callers, FleetStore, QueueingUpstream, start_hosts
from standins.host_processes.callers import HOST_NAME
from standins.host_processes.site import ZONES, make_configuration, make_route

__all__ = ["SERVICE", "Deployment", "open_deployment"]

SERVICE = "desk"
SAFE, UNSAFE = "/safe/", "/unsafe/"
START_TIMEOUT_S = 60.0
GAP_S = 0.02
DEADLINE_MS = 1_500


class Deployment:
    """
    Hosts in front of one service with a route of each kind.

    :param store: the store, which may hold objects already
    :param folder: where settings and logs are written
    """

    def __init__(self, *, store, folder):
        self.store = store
        self.upstreams = []
        self.hosts = []
        self.callers = Callers(rng=random.Random(1))
        self.runs = []
        self._folder = folder

    async def add_upstream(self, name, kind=QueueingUpstream, **parts):
        """Start an upstream of the service, which registers itself."""
        upstream = kind(
            name=name,
            service=SERVICE,
            zone=ZONES[len(self.upstreams) % len(ZONES)],
            store=self.store,
            work_s=lambda: 0.01,
            on_run=lambda *run: self.runs.append(run),
            slots=8,
            **parts,
        )
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    async def start(self, count):
        """Start hosts, and wait until the balancer has all of them in rotation."""
        routes = [make_route(path, SERVICE, host=HOST_NAME) for path in (SAFE, UNSAFE)]
        routes[1]["spec"]["kind"] = "unsafe"
        self.store.put("config", "main", make_configuration(1, routes, [SERVICE]))
        self.hosts = await start_hosts(
            count=count, store=self.store, folder=self._folder
        )
        await self.wait_ready()

    async def restart(self):
        """Kill all hosts at once and start them again."""
        for host in self.hosts:
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            await host.wait()
            host.ready = False
        for host in self.hosts:
            await host.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Wait until the balancer has all hosts in rotation."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(host.ready for host in self.hosts):
                await asyncio.sleep(0.1)

    async def send(self, count, path=SAFE):
        """Send requests to all hosts in turn, and return their answers."""
        answers = []
        for number in range(count):
            host = self.hosts[number % len(self.hosts)]
            sending = self.callers.send(host, f"{path}x", deadline_ms=DEADLINE_MS)
            answers.append(await sending)
            await asyncio.sleep(GAP_S)
        return answers

    async def stop(self):
        for host in self.hosts:
            await host.kill()
        self.callers.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.close()


@contextlib.asynccontextmanager
async def open_deployment(store=None):
    """Yield a deployment without hosts and upstreams, and end all that it started."""
    with tempfile.TemporaryDirectory() as folder:
        site = Deployment(store=store or FleetStore(), folder=Path(folder))
        try:
            yield site
        finally:
            await site.stop()
