"""Tests of the continuation of truncated downloads."""

import asyncio

from mangohatch.core.call import Result
from mangohatch.timeline.event import EventKind
from tests.entry.harness import fixed, open_entry, request
from tests.functions import function_tests

load_tests = function_tests(__name__)

CONTENT = bytes(range(256)) * 4096
ETAG = '"v1"'


def truncate_at(size, *, etag=ETAG, **headers):
    async def script(upstream, message, writer):
        whole = fixed(CONTENT, ETag=etag, **headers)
        writer.write(whole[: len(whole) - len(CONTENT) + size])
        await writer.drain()
        writer.close()

    return script


def serve_ranges(*, etag=ETAG, shift=0):
    async def script(upstream, message, writer):
        if "range" not in message.headers:
            writer.transport.abort()
            return
        first, last = message.headers["range"].removeprefix("bytes=").split("-")
        span = f"bytes {int(first) + shift}-{last}/{len(CONTENT)}"
        part = CONTENT[int(first) : int(last) + 1]
        writer.write(fixed(part, status=206, ETag=etag, Content_Range=span))

    return script


async def download(*scripts, **headers):
    """Download once; the first upstream is preferred, so its script runs first."""
    async with open_entry(*scripts) as (entry, upstreams):
        for row in entry.tables.upstreams():
            row.in_flight = 0 if row.name == "u1" else 1
        caller = await entry.connect()
        response = await caller.fetch(**headers)
        return response, upstreams


async def test_truncated_download_is_continued_on_another_upstream():
    response, upstreams = await download(truncate_at(300_000), serve_ranges())
    assert response.complete
    assert response.body == CONTENT
    seen = upstreams[1].requests[0].headers
    assert seen["range"] == f"bytes=300000-{len(CONTENT) - 1}"
    assert seen["if-range"] == ETAG


async def test_truncated_range_request_is_continued():
    async def truncate_range(upstream, message, writer):
        span = f"bytes 100-299999/{len(CONTENT)}"
        part = fixed(CONTENT[100:300_000], status=206, ETag=ETAG, Content_Range=span)
        writer.write(part[:-200_000])
        await writer.drain()
        writer.close()

    response, upstreams = await download(
        truncate_range, serve_ranges(), Range="bytes=100-299999"
    )
    assert (response.status, response.complete) == (206, True)
    assert response.body == CONTENT[100:300_000]
    assert upstreams[1].requests[0].headers["range"] == "bytes=100000-299999"


async def test_other_version_is_never_appended():
    others = (
        serve_ranges(etag='"v2"'),
        serve_ranges(shift=1),
        truncate_at(len(CONTENT)),
    )
    for other in others:
        response, upstreams = await download(truncate_at(300_000), other)
        assert not response.complete
        assert len(upstreams[1].requests) == 1


async def test_upstream_that_cannot_continue_is_not_reported_as_aborted():
    async def shed(upstream, message, writer):
        writer.write(fixed(b"", status=503, X_Outcome="not_run"))

    cases = ((serve_ranges(etag='"v2"'), Result.CANCELLED), (shed, Result.REFUSED))
    for other, result in cases:
        async with open_entry(truncate_at(300_000), other) as (entry, upstreams):
            second = list(entry.tables.upstreams())[1]
            second.in_flight = 1
            caller = await entry.connect()
            assert not (await caller.fetch()).complete
            assert entry.take_results() == [Result.ABORTED, result]


async def test_response_without_strong_etag_is_not_continued():
    for headers in ({"etag": 'W/"v1"'}, {"etag": "v1"}):
        response, upstreams = await download(
            truncate_at(300_000, **headers), serve_ranges()
        )
        assert not response.complete
        assert not upstreams[1].requests


async def test_stalled_download_is_continued():
    async def stop_half_way(upstream, message, writer):
        whole = fixed(CONTENT, ETag=ETAG)
        writer.write(whole[:-500_000])
        await asyncio.Event().wait()

    async with open_entry(stop_half_way, serve_ranges()) as (entry, upstreams):
        second = list(entry.tables.upstreams())[1]
        second.in_flight = 1
        caller = await entry.connect()
        await caller.send(request())
        reading = asyncio.ensure_future(caller.read())
        while not any(
            req.sink.body_bytes == len(CONTENT) - 500_000
            for req in entry.forwarder.active
        ):
            await asyncio.sleep(0)
        entry.pass_time(1_400)
        assert len(upstreams[1].requests) == 0
        entry.pass_time(200)
        response = await reading
        assert response.complete
        assert response.body == CONTENT
        assert EventKind.CONNECTION_SILENT in entry.event_kinds()


async def test_second_truncation_is_continued():
    async def serve_truncated_range(upstream, message, writer):
        first, last = message.headers["range"].removeprefix("bytes=").split("-")
        span = f"bytes {first}-{last}/{len(CONTENT)}"
        part = CONTENT[int(first) : int(last) + 1]
        whole = fixed(part, status=206, ETag=ETAG, Content_Range=span)
        writer.write(whole[:-100_000])
        await writer.drain()
        writer.close()

    async def truncate_then_serve_ranges(upstream, message, writer):
        script = serve_ranges() if "range" in message.headers else truncate_at(300_000)
        await script(upstream, message, writer)

    response, upstreams = await download(
        truncate_then_serve_ranges, serve_truncated_range
    )
    assert response.complete
    assert response.body == CONTENT
