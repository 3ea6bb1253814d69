"""Tests of a host on the platform whose upstreams are cold."""

import asyncio

from tests.functions import function_tests
from tests.platform.site import open_host

load_tests = function_tests(__name__)

OPTIONS = {"slow_start": "3s", "warmup_per_s": 6.3}
BOUNDS = "cold_over = 1.5\ncold_slack = 8"
UNKNOWN_S = 2.2


async def send_for_a_second(host):
    """Send 60 requests within a second, and return how many each upstream got."""
    before = [len(upstream.requests) for upstream in host.site.upstreams]
    tasks = []
    for _ in range(60):
        tasks.append(asyncio.create_task(host.get("front", "/a/x")))
        await asyncio.sleep(1 / 60)
    counts = [
        len(upstream.requests) - count
        for upstream, count in zip(host.site.upstreams, before, strict=True)
    ]
    await asyncio.gather(*tasks)
    return counts


async def test_upstream_that_says_it_is_cold_gets_its_warm_up_rate():
    async with open_host(upstreams=1, options=OPTIONS, bounds=BOUNDS) as host:
        await asyncio.sleep(UNKNOWN_S)
        host.site.upstreams[0].signs = {"Cold-Ms": "3000"}
        await asyncio.sleep(0.5)
        (count,) = await send_for_a_second(host)
        assert 3 <= count <= 9, count
        host.site.upstreams[0].signs = {"Cold-Ms": "0"}
        await asyncio.sleep(0.5)
        (count,) = await send_for_a_second(host)
        assert count >= 20, count


async def test_bound_in_the_settings_turns_the_limit_on():
    async with open_host(upstreams=1, options=OPTIONS) as host:
        host.site.upstreams[0].signs = {"Cold-Ms": "3000"}
        await asyncio.sleep(0.5)
        (count,) = await send_for_a_second(host)
        assert count >= 20, count
