"""Tests of answers whose heads are not valid HTTP, at each place that reads answers."""

import asyncio
import contextlib
import random

from mangohatch.clock import SystemClock
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.paths import PathTable
from mangohatch.core.tables import Tables
from mangohatch.platform.protocol import PlatformProtocol
from mangohatch.platform.statement import read_probe
from mangohatch.upstream.dialer import Dialer
from mangohatch.upstream.load_probe import HttpLoadProbe
from standins.malformed_answers import (
    format_fields,
    list_framed_interims,
    list_malformed_names,
    list_malformed_statuses,
)
from tests.entry.harness import LOOPBACK, fixed, open_entry, request, wait_until
from tests.entry.test_continuation import CONTENT, ETAG, serve_ranges, truncate_at
from tests.entry.test_hedging import Scripted, open_race, start_race
from tests.fixtures import make_service
from tests.functions import function_tests
from tests.platform.test_faulty_upstreams import BODY, ROUTES, sent, success

load_tests = function_tests(__name__)

FIELDS = {"Request-Id": "r1", "Upstream-Signature": "s"}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
UPLOAD = bytes(600_000)  # more than a host keeps
TRAILER = "in a trailer"
SAFE, UNSAFE = "/a/x", "/confirm/x"
# Looks like a sound answer to the request.
FORGED = fixed(b"forged", **{"Request_Id": "r1", "Upstream_Signature": "s"})


def write(data):
    async def script(upstream, message, writer):
        writer.write(data)
        await writer.drain()

    return script


@contextlib.asynccontextmanager
async def open_site(*scripts):
    """Start an entry that prefers its first upstream."""
    protocol = PlatformProtocol(rng=random.Random(1))
    async with open_entry(*scripts, protocol=protocol) as (entry, upstreams):
        entry.tables.routes.apply(ROUTES, revision=1)
        for row in entry.tables.upstreams():
            row.in_flight = 0 if row.name == "u1" else 1
        yield await entry.connect(), upstreams


async def break_off(upstream, message, writer):
    writer.close()


async def fetch(caller, target, request_id="r1"):
    return await caller.fetch(target, Request_Id=request_id)


async def check_safe(answers):
    """Check that the answer of another upstream replaces the malformed one."""
    for name, data in answers(FIELDS, FORGED).items():
        async with open_site(write(data), write(success("r1"))) as (caller, upstreams):
            response = await fetch(caller, SAFE)
            assert (response.status, response.body) == (200, BODY), name
            assert [len(item.requests) for item in upstreams] == [1, 1], name


async def check_unsafe(answers):
    """Check that a request that may run once fails and is not sent again."""
    for name, data in answers(FIELDS, FORGED).items():
        async with open_site(write(data), write(success("r1"))) as (caller, upstreams):
            response = await fetch(caller, UNSAFE)
            assert response.status == 502, (name, response)
            assert b"forged" not in response.body
            assert [len(item.requests) for item in upstreams] == [1, 0], name


async def check_repeated(answers):
    """Check that a malformed answer to the second attempt reaches no caller."""
    for name, data in answers(FIELDS, FORGED).items():
        async with open_site(break_off, write(data)) as (caller, upstreams):
            response = await fetch(caller, SAFE)
            assert response.status == 502, (name, response)
            assert [len(item.requests) for item in upstreams] == [1, 1], name


async def check_upload(answers):
    """Check a malformed answer that comes before the whole body of a request."""
    for name, data in answers(FIELDS, FORGED).items():
        for start in (b"", CONTINUE):
            async with open_early_answer(start + data) as caller:
                message = request(UNSAFE, method="POST", body=UPLOAD, Request_Id="r1")
                await caller.send(message[: -len(UPLOAD) // 2])
                response = await caller.read()
                assert response.status == 502, (name, start, response)
                assert b"forged" not in response.body


@contextlib.asynccontextmanager
async def open_early_answer(data):
    """Start an entry with an upstream that answers as soon as it has read a head."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            while await reader.read(65_536):
                pass
        writer.close()

    server = await asyncio.start_server(answer, LOOPBACK, 0)
    protocol = PlatformProtocol(rng=random.Random(1))
    async with open_entry(break_off, protocol=protocol) as (entry, _):
        entry.tables.routes.apply(ROUTES, revision=1)
        (row,) = entry.tables.upstreams()
        row.port = server.sockets[0].getsockname()[1]
        yield await entry.connect()
    server.close()


async def check_kept_connection(answers):
    """Check that a second answer reaches no caller and ends its connection."""
    for name, data in answers(FIELDS | {"Request-Id": "r2"}, FORGED).items():
        rest = [success("r1"), data, success("r3")]

        async def script(upstream, message, writer, rest=rest):
            writer.write(rest.pop(0))

        async with open_site(script) as (caller, upstreams):
            assert (await fetch(caller, UNSAFE)).status == 200
            response = await fetch(caller, UNSAFE, request_id="r2")
            assert response.status == 502, (name, response)
            assert upstreams[0].connections == 1
            assert (await fetch(caller, UNSAFE, request_id="r3")).status == 200
            assert sent(upstreams) == 3
            assert upstreams[0].connections == 2


async def check_hedge(answers):
    """Check that one malformed answer of two attempts leaves the other attempt."""
    for name, data in answers(FIELDS, FORGED).items():
        if name.endswith(TRAILER):
            continue  # an attempt with a sound head has won
        for number in (0, 1):
            script = Scripted()
            opened, _ = open_race(script)
            async with opened as (entry, _):
                caller = await start_race(entry, script)
                script.writers[number].write(data)
                await wait_until(lambda entry=entry: len(entry.router.reports) == 1)
                script.writers[1 - number].write(success("r1"))
                response = await caller.read()
                assert (response.status, response.body) == (200, BODY), (name, number)


async def check_continuation(answers):
    """Check that a malformed answer is not taken for the rest of a download."""
    span = f"bytes 300000-{len(CONTENT) - 1}/{len(CONTENT)}"
    rest = bytes(len(CONTENT) - 300_000)
    forged = fixed(rest, status=206, ETag=ETAG, Content_Range=span)
    fields = {"ETag": ETAG, "Content-Range": span}
    for name, data in answers(fields, forged).items():
        scripts = (truncate_at(300_000), write(data), serve_ranges())
        async with open_entry(*scripts) as (entry, upstreams):
            for order, row in enumerate(entry.tables.upstreams()):
                row.in_flight = order
            caller = await entry.connect()
            response = await caller.fetch()
            assert response.complete and response.body == CONTENT, name
            assert [len(item.requests) for item in upstreams] == [1, 1, 1], name


async def check_probe(answers):
    """Check that a malformed answer to a health check reports nothing."""
    fields = {"Upstream-Instance": "u1", "Upstream-Load": "1,0,2"}
    sound = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + format_fields(fields)
    async with open_probe() as probe:
        result = await probe(sound + b"\r\n")
        assert result.load == UpstreamLoad(running=1, waiting=0, slots=2)
    for name, data in answers(fields, sound + b"\r\n").items():
        if name.endswith(TRAILER):
            continue  # the report is in the head, which is sound
        async with open_probe() as probe:
            result = await probe(data)
            assert (result.load, result.instance) == (None, ""), name


async def test_status_that_is_none_of_http_to_a_safe_request():
    # The host took such a head for an interim answer, and what came in its body for
    # the answer.
    await check_safe(list_malformed_statuses)


async def test_status_that_is_none_of_http_to_a_request_that_may_run_once():
    await check_unsafe(list_malformed_statuses)


async def test_status_that_is_none_of_http_to_a_repeated_attempt():
    await check_repeated(list_malformed_statuses)


async def test_status_that_is_none_of_http_beside_an_upload():
    await check_upload(list_malformed_statuses)


async def test_status_that_is_none_of_http_on_a_kept_connection():
    await check_kept_connection(list_malformed_statuses)


async def test_status_that_is_none_of_http_beside_a_hedge():
    await check_hedge(list_malformed_statuses)


async def test_status_that_is_none_of_http_in_a_continued_download():
    await check_continuation(list_malformed_statuses)


async def test_status_that_is_none_of_http_to_a_health_check():
    await check_probe(list_malformed_statuses)


async def test_field_name_that_is_no_token_in_the_answer_to_a_safe_request():
    await check_safe(list_malformed_names)


async def test_field_name_that_is_no_token_to_a_request_that_may_run_once():
    await check_unsafe(list_malformed_names)


async def test_field_name_that_is_no_token_to_a_repeated_attempt():
    await check_repeated(list_malformed_names)


async def test_field_name_that_is_no_token_beside_an_upload():
    await check_upload(list_malformed_names)


async def test_field_name_that_is_no_token_on_a_kept_connection():
    await check_kept_connection(list_malformed_names)


async def test_field_name_that_is_no_token_beside_a_hedge():
    await check_hedge(list_malformed_names)


async def test_field_name_that_is_no_token_in_a_continued_download():
    await check_continuation(list_malformed_names)


async def test_field_name_that_is_no_token_in_the_answer_to_a_health_check():
    await check_probe(list_malformed_names)


async def test_interim_response_with_a_body_to_a_safe_request():
    # The host read the body as the next head.
    await check_safe(list_framed_interims)


async def test_interim_response_with_a_body_to_a_request_that_may_run_once():
    await check_unsafe(list_framed_interims)


async def test_interim_response_with_a_body_to_a_repeated_attempt():
    await check_repeated(list_framed_interims)


async def test_interim_response_with_a_body_beside_an_upload():
    await check_upload(list_framed_interims)


async def test_interim_response_with_a_body_on_a_kept_connection():
    await check_kept_connection(list_framed_interims)


async def test_interim_response_with_a_body_beside_a_hedge():
    await check_hedge(list_framed_interims)


async def test_interim_response_with_a_body_in_a_continued_download():
    await check_continuation(list_framed_interims)


async def test_interim_response_with_a_body_to_a_health_check():
    await check_probe(list_framed_interims)


@contextlib.asynccontextmanager
async def open_probe():
    """Yield a function that probes an upstream which sends certain bytes."""
    data = b""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)

    server = await asyncio.start_server(answer, LOOPBACK, 0)
    tables = Tables()
    tables.apply(make_service(upstreams=1), revision=1)
    (row,) = tables.upstreams()
    row.port = server.sockets[0].getsockname()[1]
    clock = SystemClock()
    dialer = Dialer(paths=PathTable(clock=clock, tables=Tables()))
    load_probe = HttpLoadProbe(clock=clock, dialer=dialer, read=read_probe)

    async def probe(answered):
        nonlocal data
        data = answered
        done = asyncio.get_running_loop().create_future()
        load_probe.send(row, "/healthz", done.set_result)
        return await done

    try:
        yield probe
    finally:
        load_probe.retain([])
        await load_probe.close()
        server.close()
