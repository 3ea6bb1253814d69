"""Tests of zones that are evacuated between the choice of an upstream and sending."""

from contextlib import contextmanager
from unittest.mock import patch

from mangohatch.core.call import Result
from mangohatch.upstream.connection import UpstreamConnection
from tests.entry.harness import fixed, open_entry
from tests.entry.test_continuation import CONTENT, download, serve_ranges, truncate_at
from tests.functions import function_tests

load_tests = function_tests(__name__)

ZONE = "ica"


async def answer(upstream, message, writer):
    writer.write(fixed())


def evacuate(row):
    """Evacuate the zone of an upstream, which is alone in it."""
    row.zone = ZONE
    row.zones.set_evacuated(frozenset({ZONE}), revision=1)


@contextmanager
def evacuated_while_connecting(number):
    """Let the zone of the upstream of the n-th new connection be evacuated."""
    original = UpstreamConnection.connect
    opened = []

    async def connect(conn):
        await original(conn)
        opened.append(conn.upstream)
        if len(opened) == number:
            evacuate(conn.upstream)

    with patch.object(UpstreamConnection, "connect", connect):
        yield opened


async def test_request_goes_elsewhere_without_a_retry():
    async with open_entry(answer, answer) as (entry, upstreams):
        with evacuated_while_connecting(1) as opened:
            caller = await entry.connect()
            assert (await caller.fetch()).status == 200
        first = next(item for item in upstreams if item.name == opened[0].name)
        assert not first.requests
        assert entry.take_results() == [Result.CANCELLED, Result.OK]


async def test_request_without_another_zone_is_refused_as_not_run():
    async with open_entry(answer) as (entry, upstreams):
        with evacuated_while_connecting(1):
            caller = await entry.connect()
            response = await caller.fetch()
        assert response.status == 503
        assert response.headers["x-outcome"] == "not_run"
        assert not upstreams[0].requests


async def test_download_is_continued_outside_the_evacuated_zone():
    with evacuated_while_connecting(2) as opened:
        response, upstreams = await download(
            truncate_at(300_000), serve_ranges(), serve_ranges()
        )
    assert response.complete
    assert response.body == CONTENT
    skipped = next(item for item in upstreams if item.name == opened[1].name)
    assert not skipped.requests


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
        zones.regions = {"puno": "south", ZONE: "coast"}
        original = UpstreamConnection.connect

        async def connect(conn):
            await original(conn)
            conn.relay = "h2"

        request = entry.router.request

        def restrict(call, deliver):
            call.allowed_regions = frozenset({"south"})
            request(call, deliver)

        for zone, status in ((ZONE, 503), ("puno", 200)):
            with (
                patch.object(UpstreamConnection, "connect", connect),
                patch.object(entry.pool, "relay_zone", lambda conn, zone=zone: zone),
                patch.object(entry.router, "request", restrict),
            ):
                caller = await entry.connect()
                assert (await caller.fetch()).status == status
        assert len(upstreams[0].requests) == 1
