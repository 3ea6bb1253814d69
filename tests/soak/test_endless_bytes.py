"""Real hosts between upstreams and callers that send bytes without end."""

import asyncio
import contextlib
import random
import time

from standins.host_processes import ENDLESS_ANSWERS, EndlessUpstream
from standins.host_processes.callers import HOST_NAME
from standins.host_processes.http import format_message
from tests.functions import function_tests
from tests.soak.deployment import Deployment, open_deployment

load_tests = function_tests(__name__)

HOSTS = 2
SECONDS = 12.0
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


class Site(Deployment):
    """Hosts with a sound and a faulty service, and a sound caller."""

    received = 0

    async def send_sound(self, count):
        """Send requests that the faulty side has nothing to do with."""
        await self.send(count, "/sound/", gap_s=SOUND_GAP_S)

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


async def repeat(attack, site, host, number, end_s):
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await attack(site, host, number)
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_site(*, checks_too=False):
    async with open_deployment(make=Site, routes=ROUTES) as site:
        for number in range(8):
            if number % 2:
                faulty = {"service": FAULTY, "checks_too": checks_too}
                await site.add_upstream(f"i-{number}", EndlessUpstream, **faulty)
            else:
                await site.add_upstream(f"i-{number}", service=SOUND)
        await site.start(HOSTS)
        yield site


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
        faulty = [item for item in site.upstreams if item.service == FAULTY]
        sent = {
            answer.name: sum(item.sent[answer.name] for item in faulty)
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
