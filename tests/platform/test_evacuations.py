"""Tests of evacuations and regions as the platform states them."""

import asyncio
import contextlib
import json
from unittest.mock import patch

from mangohatch.clock import ManualClock
from mangohatch.errors import SettingsError
from mangohatch.platform import source as source_module
from mangohatch.platform.documents import read_configuration
from mangohatch.platform.source import EVACUATIONS, PlatformSource
from mangohatch.platform.store import PlatformStore
from mangohatch.platform.values import DocumentError
from standins.platform_site import PlatformSite
from tests.functions import function_tests
from tests.platform.site import configuration, open_host, route
from tests.platform.test_settings import TEXT, load

load_tests = function_tests(__name__)

IN_FORCE_S = 1.0


@contextlib.asynccontextmanager
async def open_source():
    site = PlatformSite(upstreams=[])
    await site.start()
    store = PlatformStore(address=("127.0.0.1", site.store.port), timeout_ms=1_000.0)
    try:
        yield site, PlatformSource(store=store, clock=ManualClock(), evacuations=True)
    finally:
        site.stop()


def test_bound_and_regions_are_read_from_the_settings():
    cfg = load(TEXT)
    assert cfg.bounds.evacuate_ms is None
    assert cfg.regions == {}
    text = TEXT.replace("[platform]", 'evacuate = "5000ms"\n[platform]')
    cfg = load('region = "south"' + text + '[zones]\nica = "coast"\n')
    assert cfg.bounds.evacuate_ms == 5_000.0
    assert cfg.regions == {"z": "south", "ica": "coast"}


def test_invalid_bound_or_region_is_rejected_with_key_and_value():
    for key, text in (
        ("bounds.evacuate", TEXT.replace("[platform]", 'evacuate = "x"\n[platform]')),
        ("bounds.evacuate", TEXT.replace("[platform]", "evacuate = 5\n[platform]")),
        ("zones.ica", TEXT + "[zones]\nica = 5\n"),
    ):
        try:
            load(text)
        except SettingsError as exc:
            assert key in str(exc)
            continue
        raise AssertionError(key)


def test_allowed_regions_of_routes_are_read():
    for value, expected in (
        (["south"], frozenset({"south"})),
        ([], None),
        (None, None),
    ):
        document = configuration(1, route("r1", "/a/", allowed_regions=value))
        (found,) = read_configuration(json.dumps(document)).routes
        assert found.allowed_regions == expected
    for value in ("south", [5], [""]):
        document = configuration(1, route("r1", "/a/", allowed_regions=value))
        try:
            read_configuration(json.dumps(document))
        except DocumentError as exc:
            assert "allowed_regions" in str(exc)
            continue
        raise AssertionError(value)


async def test_malformed_entries_are_logged_once_and_fail_no_reading():
    async with open_source() as (site, source):
        site.put(EVACUATIONS, "ica", {})
        site.put(EVACUATIONS, "puno", "not an object")
        site.put(EVACUATIONS, "a zone\n", {})
        with patch.object(source_module, "log") as log:
            for _ in range(2):
                reading = await source.read(EVACUATIONS, {})
        # Presence counts: an operator who wrote an entry wants the zone empty.
        assert {item.name for item in reading.items} == {"ica", "puno"}
        logged = [call.kwargs for call in log.warning.call_args_list]
        assert sorted(item["key"] for item in logged) == ["content", "name"]
        assert all(item["value"] and item["expected"] for item in logged)


async def test_long_poll_returns_with_a_change():
    async with open_source() as (site, source):
        reading = await source.read(EVACUATIONS, {})
        waiting = asyncio.create_task(source.watch(EVACUATIONS, reading.revision))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        site.put(EVACUATIONS, "ica", {})
        await asyncio.wait_for(waiting, IN_FORCE_S)
        assert site.calls[-1].endswith(f"?watch={reading.revision}&wait_ms=30000")


async def test_host_process_obeys_an_evacuation_and_its_end():
    async with open_host(bounds='evacuate = "5000ms"') as host:
        assert (await host.get("front", "/a/x")).status == 200
        host.site.put(EVACUATIONS, "z", {})
        await asyncio.sleep(IN_FORCE_S)
        before = [len(item.requests) for item in host.site.upstreams]
        response = await host.get("front", "/a/x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0
        assert [len(item.requests) for item in host.site.upstreams] == before
        host.site.delete(EVACUATIONS, "z")
        await asyncio.sleep(IN_FORCE_S)
        assert (await host.get("front", "/a/x")).status == 200


async def test_host_process_without_the_bound_makes_no_call_for_evacuations():
    async with open_host() as host:
        host.site.put(EVACUATIONS, "z", {})
        await asyncio.sleep(IN_FORCE_S)
        assert (await host.get("front", "/a/x")).status == 200
        assert not [target for target in host.site.calls if EVACUATIONS in target]
