"""Tests of upstreams that end or pause new work just before a request is sent."""

import math
from contextlib import contextmanager
from unittest.mock import patch

from mangohatch.core.call import Result
from mangohatch.upstream.connection import UpstreamConnection
from tests.entry.harness import fixed, open_entry
from tests.entry.test_continuation import CONTENT, download, serve_ranges, truncate_at
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def answer(upstream, message, writer):
    writer.write(fixed())


@contextmanager
def withdrawn_while_connecting(number):
    """Let the upstream of the n-th new connection ask for a pause meanwhile."""
    original = UpstreamConnection.connect
    opened = []

    async def connect(conn):
        await original(conn)
        opened.append(conn.upstream)
        if len(opened) == number:
            conn.upstream.signs.paused_until_ms = math.inf

    with patch.object(UpstreamConnection, "connect", connect):
        yield opened


async def test_request_goes_elsewhere_without_a_retry():
    async with open_entry(answer, answer) as (entry, upstreams):
        with withdrawn_while_connecting(1) as opened:
            caller = await entry.connect()
            assert (await caller.fetch()).status == 200
        withdrawn = next(item for item in upstreams if item.name == opened[0].name)
        assert not withdrawn.requests
        assert entry.take_results() == [Result.CANCELLED, Result.OK]
        seen = [item.requests for item in upstreams if item is not withdrawn]
        assert seen[0][0].headers["x-attempt"] == "1"
        assert entry.in_flight() == 0


async def test_request_without_another_upstream_is_refused_as_not_run():
    async with open_entry(answer) as (entry, upstreams):
        with withdrawn_while_connecting(1):
            caller = await entry.connect()
            response = await caller.fetch()
        assert response.status == 503
        assert response.headers["x-outcome"] == "not_run"
        assert not upstreams[0].requests


async def test_download_is_continued_on_another_upstream():
    with withdrawn_while_connecting(2):
        response, upstreams = await download(
            truncate_at(300_000), serve_ranges(), serve_ranges()
        )
    assert response.complete
    assert response.body == CONTENT
