"""Real hosts between upstreams and callers that send bytes without end."""

import asyncio
import contextlib
import random
import tempfile
import time
from pathlib import Path

from standins.host_processes import (
    ENDLESS_ANSWERS,
    Callers,
    EndlessUpstream,
    FleetStore,
    QueueingUpstream,
    start_hosts,
)
from standins.host_processes.callers import HOST_NAME
from standins.host_processes.http import format_message
from standins.host_processes.site import ZONES, make_configuration, make_route
from tests.functions import function_tests

load_tests = function_tests(__name__)

HOSTS = 2
SECONDS = 12.0
START_TIMEOUT_S = 60.0
MEMORY_MB = 300.0  # of a machine of the users
SOUND, FAULTY = "desk", "archive"
ROUTES = {"/sound/": (SOUND, "safe"), "/safe/": (FAULTY, "safe")}
ROUTES["/unsafe/"] = (FAULTY, "unsafe")
ATTACKERS = 24  # endless answers at once, on each host
SENDERS = 120  # endless requests at once, on each host
SOUND_BESIDE = 120
SOUND_AFTER = 20
SOUND_GAP_S = 0.05
DEADLINE_MS = 1_500
READ_BYTES = 65_536
PIECE = b"x" * 16_384


class Site:
    """Hosts with a sound and a faulty service, and a sound caller."""

    def __init__(self, *, hosts, upstreams, store):
        self.hosts = hosts
        self.faulty = [item for item in upstreams if item.service == FAULTY]
        self.callers = Callers(rng=random.Random(1))
        self.received = 0
        self._upstreams = upstreams
        self._store = store

    async def send_sound(self, count):
        """Send requests that the faulty side has nothing to do with."""
        for number in range(count):
            await asyncio.sleep(SOUND_GAP_S)
            host = self.hosts[number % len(self.hosts)]
            await self.callers.send(host, f"/sound/{number}", deadline_ms=DEADLINE_MS)

    async def attack(self, attack, count):
        """Run attackers on each host."""
        end_s = time.monotonic() + SECONDS
        attacks = [
            repeat(attack, self, host, number, end_s)
            for host in self.hosts
            for number in range(count)
        ]
        await asyncio.gather(*attacks)

    def check(self):
        """Check that all hosts have stayed up, within their memory, and served."""
        peaks = [host.peak_memory_mb() for host in self.hosts if host.running]
        statuses = [answer.status for answer in self.callers.answers]
        print(
            f"peaks of {peaks} MB, {len(statuses)} sound requests,"
            f" {self.received / 1e6:.0f} MB to callers"
        )
        assert len(peaks) == len(self.hosts)
        assert max(peaks) < MEMORY_MB
        assert statuses and set(statuses) == {200}

    async def stop(self):
        for host in self.hosts:
            await host.kill()
        self.callers.close()
        for upstream in self._upstreams:
            upstream.stop()
        self._store.close()


async def repeat(attack, site, host, number, end_s):
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await attack(site, host, number)
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_site(*, checks_too=False):
    store = FleetStore()
    routes = [make_route(path, ROUTES[path][0], host=HOST_NAME) for path in ROUTES]
    for route, (_, kind) in zip(routes, ROUTES.values(), strict=True):
        route["spec"]["kind"] = kind
    store.put("config", "main", make_configuration(1, routes, (SOUND, FAULTY)))
    upstreams = []
    for number in range(8):
        parts = {
            "name": f"i-{number}",
            "zone": ZONES[number % len(ZONES)],
            "store": store,
            "work_s": lambda: 0.01,
            "on_run": lambda *run: None,
            "slots": 8,
        }
        if number % 2:
            upstream = EndlessUpstream(service=FAULTY, checks_too=checks_too, **parts)
        else:
            upstream = QueueingUpstream(service=SOUND, **parts)
        upstreams.append(upstream)
        await upstream.start()
    with tempfile.TemporaryDirectory() as folder:
        hosts = await start_hosts(count=HOSTS, store=store, folder=Path(folder))
        site = Site(hosts=hosts, upstreams=upstreams, store=store)
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not all(host.ready for host in hosts):
                    await asyncio.sleep(0.1)
            yield site
        finally:
            await site.stop()


@contextlib.asynccontextmanager
async def connect(host):
    reader, writer = await asyncio.open_connection(host.address, host.ports["front"])
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def make_head(path, method="GET", **fields):
    named = {"Host": HOST_NAME, "Deadline-Ms": str(DEADLINE_MS)} | fields
    named["Request-Id"] = f"{random.getrandbits(64):016x}"
    return format_message(f"{method} {path} HTTP/1.1", named)


async def ask_faulty(site, host, number):
    """Ask the faulty service, and read what comes; each third caller reads nothing."""
    path = "/safe/x" if number % 2 else "/unsafe/x"
    async with connect(host) as (reader, writer):
        writer.write(make_head(path))
        if number % 3 == 0:
            await asyncio.sleep(DEADLINE_MS / 1000)
        while data := await reader.read(READ_BYTES):
            site.received += len(data)


async def send_without_end(site, host, number):
    """Send a head or a body without end, until the host closes."""
    starts = (
        b"",
        b"GET /sound/x HTTP/1.1\r\nX: ",
        make_head("/sound/x", "POST", **{"Transfer-Encoding": "chunked"}),
        make_head("/sound/x", "POST", **{"Content-Length": str(60_000_000)}),
    )
    piece = PIECE
    if number % len(starts) == 2:
        piece = b"4000\r\n" + PIECE + b"\r\n"
    async with connect(host) as (_, writer):
        writer.write(starts[number % len(starts)])
        while True:
            writer.write(piece)
            await writer.drain()


async def test_answers_without_end_leave_hosts_within_their_memory():
    # A host that keeps what a faulty upstream sends in a head or a body runs out of
    # memory, and the requests of all other callers end with it.
    async with open_site() as site:
        await asyncio.gather(
            site.attack(ask_faulty, ATTACKERS), site.send_sound(SOUND_BESIDE)
        )
        sent = {
            answer.name: sum(item.sent[answer.name] for item in site.faulty)
            for answer in ENDLESS_ANSWERS
        }
        print(sent)
        site.check()
        assert all(sent.values())


async def test_checks_answered_without_end_leave_hosts_within_their_memory():
    async with open_site(checks_too=True) as site:
        await asyncio.gather(
            site.attack(ask_faulty, ATTACKERS), site.send_sound(SOUND_BESIDE)
        )
        site.check()


async def test_requests_without_end_leave_hosts_within_their_memory():
    # Hosts kept the bodies of ended requests until a late collection of garbage.
    async with open_site() as site:
        await site.attack(send_without_end, SENDERS)
        await site.send_sound(SOUND_AFTER)
        site.check()
