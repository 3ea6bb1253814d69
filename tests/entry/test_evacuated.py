"""Tests of requests to upstreams in evacuated zones and in other regions."""

from unittest.mock import patch

from mangohatch.upstream.connection import UpstreamConnection
from tests.entry.harness import fixed, open_entry
from tests.entry.test_withdrawn import answer, evacuate
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def test_request_in_flight_completes():
    rows = []

    async def answer_late(upstream, message, writer):
        evacuate(rows[0])
        writer.write(fixed())

    async with open_entry(answer_late) as (entry, _):
        rows += entry.tables.upstreams()
        caller = await entry.connect()
        assert (await caller.fetch()).status == 200


async def test_restricted_request_passes_no_host_of_another_region():
    """Guards against bodies that leave the allowed regions through a relay."""
    async with open_entry(answer) as (entry, upstreams):
        zones = entry.tables.zones
        zones.regions = {"puno": "south", "ica": "coast"}
        original = UpstreamConnection.connect

        async def connect(conn):
            await original(conn)
            conn.relay = "h2"

        request = entry.router.request

        def restrict(call, deliver):
            call.allowed_regions = frozenset({"south"})
            request(call, deliver)

        for zone, status in (("ica", 503), ("puno", 200)):
            with (
                patch.object(UpstreamConnection, "connect", connect),
                patch.object(entry.pool, "relay_zone", lambda conn, zone=zone: zone),
                patch.object(entry.router, "request", restrict),
            ):
                caller = await entry.connect()
                assert (await caller.fetch()).status == status
        assert len(upstreams[0].requests) == 1
