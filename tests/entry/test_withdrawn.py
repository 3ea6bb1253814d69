"""Tests of upstreams that get no new work any more just before a request is sent."""

import math
from contextlib import contextmanager
from unittest.mock import patch

from mangohatch.core.call import Result
from mangohatch.core.tables import DrainCause
from mangohatch.upstream.connection import UpstreamConnection
from tests.entry.harness import fixed, open_entry
from tests.entry.test_continuation import CONTENT, download, serve_ranges, truncate_at
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def answer(upstream, message, writer):
    writer.write(fixed())


def pause(row):
    row.signs.paused_until_ms = math.inf


def drain(row):
    row.start_drain(DrainCause.ORDER)


def evacuate(row):
    """Evacuate the zone of an upstream, which is alone in it."""
    row.zone = "ica"
    row.zones.set_evacuated(frozenset({"ica"}), revision=1)


@contextmanager
def withdrawn_while_connecting(number, withdraw):
    """Withdraw the upstream of the n-th new connection meanwhile."""
    original = UpstreamConnection.connect
    opened = []

    async def connect(conn):
        await original(conn)
        opened.append(conn.upstream)
        if len(opened) == number:
            withdraw(conn.upstream)

    with patch.object(UpstreamConnection, "connect", connect):
        yield opened


async def test_request_goes_elsewhere_without_a_retry():
    for withdraw in (pause, drain, evacuate):
        async with open_entry(answer, answer) as (entry, upstreams):
            with withdrawn_while_connecting(1, withdraw) as opened:
                caller = await entry.connect()
                assert (await caller.fetch()).status == 200
            name = opened[0].name
            withdrawn = next(item for item in upstreams if item.name == name)
            assert not withdrawn.requests
            assert entry.take_results() == [Result.CANCELLED, Result.OK]
            seen = [item.requests for item in upstreams if item is not withdrawn]
            assert seen[0][0].headers["x-attempt"] == "1"
            assert entry.in_flight() == 0


async def test_request_without_another_upstream_is_refused_as_not_run():
    for withdraw in (pause, drain, evacuate):
        async with open_entry(answer) as (entry, upstreams):
            with withdrawn_while_connecting(1, withdraw):
                caller = await entry.connect()
                response = await caller.fetch()
            assert response.status == 503
            assert response.headers["x-outcome"] == "not_run"
            assert not upstreams[0].requests


async def test_download_is_continued_on_another_upstream():
    for withdraw in (pause, drain, evacuate):
        with withdrawn_while_connecting(2, withdraw) as opened:
            response, upstreams = await download(
                truncate_at(300_000), serve_ranges(), serve_ranges()
            )
        assert response.complete
        assert response.body == CONTENT
        skipped = next(item for item in upstreams if item.name == opened[1].name)
        assert not skipped.requests
