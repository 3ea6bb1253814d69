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

__all__ = ["SAFE", "SERVICE", "UNSAFE", "Deployment", "open_deployment"]

SERVICE = "desk"
SAFE, UNSAFE = "/safe/", "/unsafe/"
# Service and kind of each route, by path.
ROUTES = {SAFE: (SERVICE, "safe"), UNSAFE: (SERVICE, "unsafe")}
START_TIMEOUT_S = 60.0
POLL_S = 1.0  # of readiness
DEADLINE_MS = 1_500


class Deployment:
    """
    Hosts in front of upstreams.

    :param store: the store, which may hold objects already
    :param folder: where settings and logs are written
    :param routes: service and kind of each route, by path
    """

    def __init__(self, *, store, folder, routes=ROUTES):
        self.store = store
        self.upstreams = []
        self.hosts = []
        self.callers = Callers(rng=random.Random(1))
        self.runs = []
        self._folder = folder
        self._routes = routes

    async def add_upstream(self, name, kind=QueueingUpstream, **parts):
        """Start an upstream, which registers itself."""
        upstream = kind(
            **{
                "name": name,
                "service": SERVICE,
                "zone": ZONES[len(self.upstreams) % len(ZONES)],
                "store": self.store,
                "work_s": lambda: 0.01,
                "on_run": lambda *run: self.runs.append(run),
                "slots": 8,
            }
            | parts
        )
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    async def start(self, count):
        """Start hosts, and wait until the balancer has all of them in rotation."""
        routes = []
        for path, (service, kind) in self._routes.items():
            routes.append(make_route(path, service, host=HOST_NAME))
            routes[-1]["spec"]["kind"] = kind
        services = sorted({service for service, _ in self._routes.values()})
        self.store.put("config", "main", make_configuration(1, routes, services))
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
        await asyncio.sleep(POLL_S)  # an answer from before may be on its way
        for host in self.hosts:
            host.ready = False
        for host in self.hosts:
            await host.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Wait until the balancer has all hosts in rotation."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(host.ready for host in self.hosts):
                await asyncio.sleep(0.1)

    async def send(self, count, path=SAFE, *, gap_s=0.02):
        """Send requests to all hosts in turn, and return their answers."""
        answers = []
        for number in range(count):
            host = self.hosts[number % len(self.hosts)]
            sending = self.callers.send(
                host, f"{path}{number}", deadline_ms=DEADLINE_MS
            )
            answers.append(await sending)
            await asyncio.sleep(gap_s)
        return answers

    async def stop(self):
        for host in self.hosts:
            await host.kill()
        self.callers.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.close()


@contextlib.asynccontextmanager
async def open_deployment(store=None, *, make=Deployment, **parts):
    """Yield a deployment without hosts and upstreams, and end all that it started."""
    with tempfile.TemporaryDirectory() as folder:
        site = make(store=store or FleetStore(), folder=Path(folder), **parts)
        try:
            yield site
        finally:
            await site.stop()
