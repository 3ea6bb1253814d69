"""Tests of a complete host whose configuration names client accounts."""

import asyncio
import tempfile

from mangohatch.platform.settings import METRICS_PORT
from tests.entry.harness import read_message
from tests.functions import function_tests
from tests.platform.site import HOST_NAME, configuration, open_host, route
from tests.platform.test_accounts import KEY, OTHER_KEY, account

load_tests = function_tests(__name__)


def put_accounts(host, version, *accounts):
    routes = (route("r1", "/a/"), route("r2", "/open/", public=True))
    host.site.put("config", "main", configuration(version, *routes, *accounts))


async def send(reader, writer, key, path="/a/x"):
    """Send a request with a key on an open connection, and return its status."""
    head = f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: abc\r\n"
    writer.write(f"{head}Authorization: Bearer {key}\r\n\r\n".encode())
    return (await asyncio.wait_for(read_message(reader), 15.0)).status


async def test_removed_key_is_rejected_on_open_connections():
    async with open_host() as host:
        put_accounts(host, 3, account(api_keys=[KEY, OTHER_KEY]))
        await host.wait_for_status("front", "/a/x", 401)
        reader, writer = await asyncio.open_connection(
            host.address, host.ports["front"]
        )
        assert await send(reader, writer, KEY) == 200
        put_accounts(host, 4, account(api_keys=[OTHER_KEY]))
        async with asyncio.timeout(2.5):  # ``config`` of the platform
            while await send(reader, writer, KEY) != 401:
                await asyncio.sleep(0.02)
        assert await send(reader, writer, OTHER_KEY) == 200
        # An older version, of a store restored from a backup, is not applied.
        host.site.revision = 1
        put_accounts(host, 3, account(api_keys=[KEY, OTHER_KEY]))
        await asyncio.sleep(1.5)
        assert await send(reader, writer, KEY) == 401
        writer.close()


async def test_malformed_accounts_leave_the_previous_version_in_force():
    async with open_host() as host:
        put_accounts(host, 3, account())
        await host.wait_for_status("front", "/a/x", 401)
        put_accounts(host, 4, account(), account("other"))
        await asyncio.sleep(1.5)
        response = await host.get("front", "/a/x", Authorization=f"Bearer {KEY}")
        assert response.status == 200


async def test_key_appears_in_no_output_of_a_host():
    with tempfile.TemporaryFile() as output:
        async with open_host(stdout=output) as host:
            put_accounts(host, 3, account())
            await host.wait_for_status("front", "/a/x", 401)
            bodies = []
            for value in (f"Bearer {KEY}", KEY, f"Basic {KEY}", f"Bearer {KEY}\x01"):
                for path in ("/a/x", "/open/x", "/unknown/x"):
                    response = await host.get(
                        "front", path, Authorization=value, Tenant="claimed"
                    )
                    bodies.append(f"{response.headers}{response.body}")
            metrics = await host.get_metrics(METRICS_PORT)
            served = [item for up in host.site.upstreams for item in up.requests]
            assert {"kaje80"} <= {item.get("tenant") for item in served}
            assert "claimed" not in str(served)
            assert 'mangohatch_keys_rejected_total{cause="malformed"}' in metrics
            assert await host.stop() == 0
        output.seek(0)
        log = output.read().decode()
        assert "key_rejected" in log
        for text in (log, metrics, str(bodies), str(served)):
            assert KEY not in text


async def test_refusals_name_the_version_that_decided_them():
    with tempfile.TemporaryFile() as output:
        async with open_host(stdout=output) as host:
            put_accounts(host, 7, account())
            await host.wait_for_status("front", "/a/x", 401)
            assert (await host.get("front", "/unknown/x")).status == 404
            metrics = await host.get_metrics(METRICS_PORT)
            assert "mangohatch_configuration_version 7.0" in metrics
            assert await host.stop() == 0
        output.seek(0)
        lines = output.read().decode().splitlines()
    for event in ("key_rejected", "request_refused"):
        *_, line = (line for line in lines if event in line)
        assert "config_version=7" in line, line
        assert "directory_age_ms=" in line, line
