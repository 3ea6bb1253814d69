"""Tests of hosts that reach their peers, but none of the upstreams."""

import asyncio

from tests.fleet.cut_site import Cut, open_cut_site
from tests.functions import function_tests

load_tests = function_tests(__name__)

WARM_UP = 10
REQUESTS = 30
KNOWN_AFTER_S = 0.5
MIN_SERVED = 0.97  # of what the other hosts serve, from half a second on


async def check_served(how, *, method="GET", prefix="/a/"):
    async with open_cut_site() as site:
        for host_id in site.hosts:
            assert await site.count_served(host_id, WARM_UP) == WARM_UP
        site.firewall.cut("h0", how)
        await asyncio.sleep(KNOWN_AFTER_S)
        served = {
            host_id: await site.count_served(
                host_id, REQUESTS, method=method, prefix=prefix
            )
            for host_id in ("h0", "h1")
        }
        assert served["h0"] >= MIN_SERVED * served["h1"], served


async def test_callers_are_served_by_a_host_whose_links_to_upstreams_hang():
    await check_served(Cut.HANG)


async def test_callers_are_served_by_a_host_whose_links_to_upstreams_are_reset():
    await check_served(Cut.RESET)


async def test_unsafe_requests_are_served_by_a_host_that_opens_no_new_connections():
    await check_served(Cut.NEW_ONLY, method="POST", prefix="/b/")


async def test_unsafe_requests_are_served_by_a_host_whose_links_hang():
    await check_served(Cut.HANG, method="POST", prefix="/b/")


async def check_served_by_the_last_host(how):
    async with open_cut_site(hosts=4) as site:
        for host_id in site.hosts:
            assert await site.count_served(host_id, WARM_UP) == WARM_UP
        for host_id in ("h0", "h1", "h2"):
            site.firewall.cut(host_id, how)
        await asyncio.sleep(KNOWN_AFTER_S)
        await site.count_served("h0", 2)
        served = await site.count_served("h0", REQUESTS)
        assert served >= MIN_SERVED * REQUESTS, served


async def test_last_host_that_reaches_the_upstreams_serves_for_all_after_resets():
    await check_served_by_the_last_host(Cut.RESET)


async def test_last_host_that_reaches_the_upstreams_serves_for_all_when_links_hang():
    await check_served_by_the_last_host(Cut.HANG)
