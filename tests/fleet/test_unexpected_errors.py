"""Tests of errors of the program that must not end a host."""

import asyncio

from tests.fleet.cut_site import open_cut_site
from tests.functions import function_tests

load_tests = function_tests(__name__)


def fail():
    raise RuntimeError("unexpected")


async def test_error_in_one_system_does_not_end_the_host():
    async with open_cut_site(hosts=1) as site:
        host = site.hosts["h0"]
        for system in (host.bus, host.follower, host.gate, host.entry, host.metrics):
            tick, system.tick = system.tick, fail
            await asyncio.sleep(0.1)
            system.tick = tick
        assert not site.tasks["h0"].done()
        assert await site.count_served("h0", 5) == 5


async def test_error_in_reading_settings_does_not_end_the_host():
    async with open_cut_site(hosts=1) as site:
        for error in (IndexError("empty list"), RuntimeError("unexpected")):
            site.settings["h0"].fail_with = error
            await asyncio.sleep(0.1)
        assert not site.tasks["h0"].done()
        assert await site.count_served("h0", 5) == 5
