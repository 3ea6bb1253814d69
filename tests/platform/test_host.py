"""Tests of a complete host on the platform, run as a process."""

import asyncio
import signal

from mangohatch.platform.settings import METRICS_PORT
from tests.functions import function_tests
from tests.platform.site import configuration, open_host, route

load_tests = function_tests(__name__)


async def test_request_is_served_with_attempt_headers():
    async with open_host() as host:
        response = await host.get("front", "/a/x")
        assert (response.status, response.body) == (200, b"/a/x")
        assert response.headers["upstream-signature"].endswith(".signed")
        served = [item for up in host.site.upstreams for item in up.requests]
        assert [item["request-id"] for item in served] == ["abc"]
        assert 0 < int(served[0]["deadline-ms"]) <= 1000


async def test_unknown_path_is_not_found():
    async with open_host() as host:
        assert (await host.get("front", "/b/x")).status == 404


async def test_changed_configuration_is_applied():
    async with open_host() as host:
        host.site.put(
            "config", "main", configuration(3, route("r1", "/a/"), route("r2", "/b/"))
        )
        await host.wait_for_status("front", "/b/x", 200)


async def test_unreadable_upstream_entries_are_ignored():
    async with open_host(upstreams=1) as host:
        host.site.put("servers", "i-odd", {"address": 5, "status": "odd"})
        host.site.put("servers", "i-text", "odd")
        host.site.put(
            "config", "main", configuration(3, route("r1", "/a/"), route("r2", "/b/"))
        )
        await host.wait_for_status("front", "/b/x", 200)
        assert (await host.get("front", "/a/x")).status == 200


async def test_draining_upstream_gets_no_new_requests():
    async with open_host() as host:
        draining, remaining = host.site.upstreams
        host.site.put("servers", draining.name, draining.entry("draining"))
        await asyncio.sleep(1.2)
        before = len(draining.requests)
        for _ in range(10):
            assert (await host.get("front", "/a/x")).status == 200
        assert len(draining.requests) == before


async def test_load_probe_shows_that_an_upstream_leaves():
    async with open_host() as host:
        leaving, remaining = host.site.upstreams
        leaving.signs = {"Server-Leaving": "1"}
        await asyncio.sleep(1.2)
        for _ in range(20):
            assert (await host.get("front", "/a/x")).status == 200
        assert not leaving.requests


async def test_upstream_that_asks_for_a_pause_gets_none_until_it_ends():
    async with open_host() as host:
        paused, remaining = host.site.upstreams
        paused.pause_s = "60"
        statuses = [(await host.get("front", "/a/x")).status for _ in range(40)]
        # A host without peers has no slack for the retry of the first request.
        assert statuses.count(200) >= 39
        assert len(paused.requests) == 1


async def test_request_is_refused_with_the_rest_of_the_pauses_of_all_upstreams():
    async with open_host() as host:
        for upstream in host.site.upstreams:
            upstream.pause_s = "30"
        statuses = set()
        for _ in range(5):
            response = await host.get("front", "/a/x")
            statuses.add(response.status)
        assert statuses == {503}
        assert 25.0 < float(response.headers["retry-after"]) <= 30.5
        assert [len(upstream.requests) for upstream in host.site.upstreams] == [1, 1]


async def test_service_without_upstreams_returns_503():
    async with open_host(upstreams=1) as host:
        host.site.delete("servers", "i-0")
        await host.wait_for_status("front", "/a/x", 503)
        response = await host.get("front", "/a/x")
        assert float(response.headers["retry-after"]) > 0


async def test_stopping_host_finishes_its_requests_first():
    async with open_host(work_s=0.7) as host:
        response_task = asyncio.create_task(host.get("front", "/a/x"))
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(host.stop())
        await host.wait_for_status("ready", "/mangohatch/readyz", 503)
        assert (await response_task).status == 200
        assert await stopping == 0


async def test_stopping_host_answers_a_request_that_outlasts_its_grace():
    async with open_host(work_s=5.0, grace="1500ms") as host:
        slow = route("slow", "/slow/", kind="unsafe", timeout="9000ms")
        host.site.put("config", "main", configuration(2, route("r1", "/a/"), slow))
        while (await host.get("front", "/slow/x", Deadline_Ms="100")).status == 404:
            await asyncio.sleep(0.05)
        fetching = host.get("front", "/slow/x", Deadline_Ms="9000")
        response_task = asyncio.create_task(fetching)
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(host.stop())
        assert (await response_task).status == 504
        assert await stopping == 0


async def test_host_keeps_serving_after_sighup():
    async with open_host() as host:
        host.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert host.process.returncode is None
        assert (await host.get("front", "/a/x")).status == 200


async def test_metrics_page_has_requests_and_latencies():
    async with open_host() as host:
        assert (await host.get("front", "/a/x")).status == 200
        host.ports["metrics"] = METRICS_PORT
        text = (await host.get("metrics", "/metrics")).body.decode()
        assert "mangohatch_store_calls_total" in text
        assert 'service="desk"' in text
        assert 'quantile="0.99"' in text
