"""Tests of response integrity and leaks under truncation, noise and disconnects."""

import asyncio
import random

from tests.entry.harness import Message, fixed, open_entry, request
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

BODY = b"hymn 12, hymn 7, hymn 301"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"9\r\nhymn 12, \r\n10\r\nhymn 7, hymn 301\r\n0\r\n\r\n"
)
NOISE_CASES = 150
CONCURRENT_REQUESTS = 150


@fixture
def noise_rng():
    return random.Random(7)


async def fetch_or_none(caller, *args, **fields) -> Message | None:
    """Send a request; return None when the connection closes before a response head."""
    try:
        return await caller.fetch(*args, **fields)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def test_response_truncated_anywhere_never_looks_complete():
    for whole in (fixed(BODY), CHUNKED):
        cut = 0

        async def script(upstream, message, writer):
            writer.write(whole[:cut])
            await writer.drain()
            writer.close()

        async with open_entry(script) as (entry, upstreams):
            for cut in range(1, len(whole)):
                caller = await entry.connect()
                response = await fetch_or_none(caller, method="POST", body=b"")
                if response is not None and response.complete:
                    assert response.status == 502, cut
                    assert response.headers["x-outcome"] == "unknown", cut
                caller.writer.close()
            assert entry.in_flight() == 0
            assert len(upstreams[0].requests) == len(whole) - 1


async def test_malformed_requests_get_an_error_response(noise_rng):
    async def answer(upstream, message, writer):
        writer.write(fixed())

    pieces = (b"\r\n", b"\n", b"\0", b":", b" ", b"Content-Length: 5\r\n", b"\xff")
    pieces += (b"Transfer-Encoding: chunked\r\n", b"HTTP/1.1", b"5\r\n", b"GET /a ")
    async with open_entry(answer) as (entry, upstreams):
        for _ in range(NOISE_CASES):
            data = bytearray(request(method="POST", body=b"12345"))
            for _ in range(noise_rng.randint(1, 3)):
                place = noise_rng.randrange(len(data))
                data[place:place] = noise_rng.choice(pieces)
            caller = await entry.connect()
            await caller.send(bytes(data))
            reply = await read_until_closed(entry, caller)
            assert reply.startswith(b"HTTP/1.1 "), data
            assert b"\r\nX-Outcome: " in reply, data
        caller = await entry.connect()
        assert (await caller.fetch()).status == 200
        assert entry.in_flight() == 0


async def read_until_closed(entry, caller) -> bytes:
    """Read to the end while the clock advances, so that pending timeouts expire."""
    reading = asyncio.ensure_future(caller.read_to_end())
    while not reading.done():
        for _ in range(20):
            await asyncio.sleep(0)
        entry.pass_time(5_000)
    return await reading


async def respond_by_target(upstream, message, writer):
    """Respond, truncate, abort, refuse, trickle or append bytes, by the target."""
    behavior = message.line.split(" ")[1].rsplit("/", 1)[1]
    if behavior == "cut":
        writer.write(fixed(BODY)[:-5])
        await writer.drain()
        writer.close()
    elif behavior == "abort":
        writer.transport.abort()
    elif behavior == "shed":
        writer.write(fixed(b"", status=503, X_Outcome="not_run"))
    elif behavior == "dawdle":
        for byte in fixed(message.headers["x-request-id"].encode()):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
    elif behavior == "chat":
        writer.write(fixed(message.headers["x-request-id"].encode()) + fixed(b"late"))
    else:
        writer.write(fixed(message.headers["x-request-id"].encode()))


async def one_request(entry, rng, number):
    behavior = rng.choice(("cut", "abort", "shed", "dawdle", "chat", "plain"))
    method = rng.choice(("GET", "POST"))
    body = b"x" * rng.choice((0, 10, 100_000)) if method == "POST" else None
    data = request(
        f"/a/{behavior}", method=method, body=body, X_Request_Id=f"q{number}"
    )
    caller = await entry.connect()
    partial = rng.random() < 0.2
    await caller.send(data[: len(data) // 2] if partial else data)
    if partial or rng.random() < 0.3:
        for _ in range(rng.randint(0, 30)):
            await asyncio.sleep(0)
        caller.writer.transport.abort()
        return None
    try:
        response = await caller.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    if response.complete and response.status == 200:
        assert response.body == f"q{number}".encode()
    return response.status


async def test_concurrent_failures_do_not_mix_responses_or_leak(noise_rng):
    async with open_entry(respond_by_target, respond_by_target, respond_by_target) as (
        entry,
        upstreams,
    ):
        requests = [
            one_request(entry, noise_rng, n) for n in range(CONCURRENT_REQUESTS)
        ]
        statuses = await asyncio.gather(*requests)
        for caller in entry.callers:
            caller.writer.close()
        while entry.server.sessions:
            await asyncio.sleep(0)
        assert statuses.count(200) > CONCURRENT_REQUESTS / 10
        assert not entry.forwarder.active
        assert entry.in_flight() == 0
        for row in entry.tables.upstreams():
            assert entry.pool.open_count(row) == entry.pool.idle_count(row)
        seen = [
            message.headers["x-request-id"]
            for upstream in upstreams
            for message in upstream.requests
            if message.line.startswith("POST") and may_have_run(message)
        ]
        assert len(seen) == len(set(seen))


def may_have_run(message: Message) -> bool:
    return "/shed " not in message.line


async def test_chunk_line_without_carriage_return_is_refused_at_once():
    async def answer(upstream, message, writer):
        writer.write(fixed())

    head = b"POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    bodies = (
        b"5\nhello\n0\n\n",
        b"5\r\nhello\n0\r\n\r\n",
        b"5\r\nhello\r\n0\n\n",
        b"x\r\n",
        b"0\r\nTrailer: x\r\n\r\n",
    )
    async with open_entry(answer) as (entry, upstreams):
        for body in bodies:
            caller = await entry.connect()
            await caller.send(head + body)
            assert (await caller.read()).status == 400, body
        assert not upstreams[0].requests


async def test_body_over_the_limit_is_refused():
    async def answer(upstream, message, writer):
        writer.write(fixed())

    async with open_entry(answer) as (entry, upstreams):
        entry.server.limits.body_bytes = 10
        for head, body in (
            (b"Content-Length: 11", b"x" * 11),
            (b"Transfer-Encoding: chunked", b"6\r\nhellos\r\n5\r\nhello\r\n0\r\n\r\n"),
        ):
            caller = await entry.connect()
            await caller.send(b"POST /a/x HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n\r\n")
            await caller.send(body)
            assert (await caller.read()).status == 413, head
        assert not upstreams[0].requests


async def test_head_over_the_limit_is_refused():
    async with open_entry() as (entry, upstreams):
        entry.server.limits.head_bytes = 200
        caller = await entry.connect()
        response = await caller.fetch(X_Padding="x" * 300)
        assert response.status == 431
