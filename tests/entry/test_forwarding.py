"""Tests of forwarding over sockets: framing, retries, outcomes, cancellation."""

import asyncio
import json

from mangohatch.core.call import Result
from tests.entry.harness import fixed, open_entry, request
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def answer(upstream, message, writer):
    writer.write(fixed())


async def abort(upstream, message, writer):
    writer.transport.abort()


async def hang(upstream, message, writer):
    await asyncio.Event().wait()


async def fail(upstream, message, writer):
    writer.write(fixed(b"broken", status=500))


async def shed(upstream, message, writer):
    writer.write(fixed(b"", status=503, X_Outcome="not_run"))


async def cut(upstream, message, writer):
    writer.write(fixed(b"x" * 100)[:-50])
    await writer.drain()
    writer.close()


async def test_request_and_response_pass_without_hop_by_hop_fields():
    async def script(upstream, message, writer):
        writer.write(
            fixed(b"ok", Connection="X-Gone", X_Gone="1", Keep_Alive="5", X_Kept="1")
        )

    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch(
            Connection="X-Drop", X_Drop="1", TE="trailers", X_Keep="1", Upgrade="h2c"
        )
        assert (response.status, response.body) == (200, b"ok")
        assert response.headers["x-outcome"] == "done"
        assert {"x-gone", "keep-alive", "connection"}.isdisjoint(response.headers)
        seen = upstreams[0].requests[0].headers
        assert {"x-drop", "te", "upgrade", "connection"}.isdisjoint(seen)
        assert seen["x-keep"] == "1"
        assert seen["x-request-id"] == response.headers["x-request-id"]
        assert seen["x-deadline-ms"] == "1000"
        assert entry.in_flight() == 0


async def test_connection_field_cannot_drop_protected_fields():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        await caller.fetch(Connection="Idempotency-Key, X-Customer", X_Customer="c1")
        assert upstreams[0].requests[0].headers["x-customer"] == "c1"


async def test_bodies_of_each_framing_pass():
    async def echo(upstream, message, writer):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = message.body
        writer.write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))

    large = bytes(range(256)) * 2000
    async with open_entry(echo) as (entry, upstreams):
        caller = await entry.connect()
        for body in (b"abc", large):
            response = await caller.fetch(method="POST", body=body)
            assert (response.complete, response.body) == (True, body)
            chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            await caller.send(
                request(method="POST", Transfer_Encoding="chunked") + chunks
            )
            assert (await caller.read()).body == body
        assert upstreams[0].requests[1].headers["content-length"] == "3"
        assert upstreams[0].requests[3].headers["transfer-encoding"] == "chunked"


async def test_bodyless_responses_keep_the_connection_in_step():
    async def script(upstream, message, writer):
        method, target = message.line.split(" ")[:2]
        if method == "HEAD":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
        elif target == "/a/304":
            writer.write(b"HTTP/1.1 304 X\r\nContent-Length: 99\r\n\r\n")
        elif target == "/a/204":
            writer.write(b"HTTP/1.1 204 X\r\n\r\n")
        else:
            interim = b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
            writer.write(interim + fixed(b"last"))

    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        assert (await caller.fetch(method="HEAD")).headers["content-length"] == "99"
        await caller.send(request("/a/304"))
        assert (await caller.read(bodyless=True)).status == 304
        assert (await caller.fetch("/a/204")).status == 204
        assert (await caller.fetch()).body == b"last"
        assert upstreams[0].connections == 1


async def test_continue_is_sent_before_the_body():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        head = request(method="POST", Expect="100-continue", Content_Length="3")
        await caller.send(head)
        assert (await caller.read(bodyless=True)).status == 100
        await caller.send(b"abc")
        assert (await caller.read()).status == 200
        assert upstreams[0].requests[0].body == b"abc"
        assert "expect" not in upstreams[0].requests[0].headers


async def test_refusals_are_typed():
    cases = {
        b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n": (404, "no_route"),
        b"GET /a HTTP/1.1\r\n\r\n": (400, "bad_request"),
        b"TRACE /a HTTP/1.1\r\nHost: h\r\n\r\n": (405, "method_refused"),
        b"GET /a HTTP/1.1\r\nX: "
        + b"a" * 40_000
        + b"\r\n\r\n": (
            431,
            "header_too_large",
        ),
        b"GET /a HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: x\r\n\r\n": (400, "bad_request"),
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n": (
            400,
            "bad_request",
        ),
    }
    async with open_entry(answer) as (entry, upstreams):
        for data, (status, code) in cases.items():
            caller = await entry.connect()
            await caller.send(data)
            response = await caller.read()
            assert response.status == status, data[:60]
            assert response.headers["x-error-code"] == code
            assert response.headers["x-outcome"] == "not_run"
            assert json.loads(response.body)["code"] == code
        assert not upstreams[0].requests


async def test_idempotent_request_is_retried_elsewhere():
    for script in (abort, fail, shed):
        async with open_entry(script, script, answer) as (entry, upstreams):
            caller = await entry.connect()
            for _ in range(3):
                response = await caller.fetch()
                assert (response.status, response.body) == (200, b"hello")
                response = await caller.fetch("/a/search", method="POST", body=b"q")
                assert response.status == 200
            assert entry.in_flight() == 0
            assert sum(len(item.requests) for item in upstreams[:2]) > 0


async def test_non_idempotent_request_runs_at_most_once():
    async with open_entry(abort, abort) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch(method="POST", body=b"book")
        assert response.status == 502
        assert response.headers["x-outcome"] == "unknown"
        assert response.headers["x-error-code"] == "upstream_aborted"
        assert sum(len(item.requests) for item in upstreams) == 1


async def test_non_idempotent_request_is_retried_after_not_run():
    async with open_entry(shed, shed, answer) as (entry, upstreams):
        caller = await entry.connect()
        for _ in range(3):
            response = await caller.fetch(method="POST", body=b"book")
            assert response.headers["x-outcome"] == "done"
        assert len(upstreams[2].requests) == 3


async def test_request_refused_by_all_upstreams_is_not_run():
    async with open_entry(shed) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch(method="POST", body=b"book")
        assert response.status == 503
        assert response.headers["x-outcome"] == "not_run"
        assert int(response.headers["retry-after"]) >= 1


async def test_unreachable_upstream_is_not_run():
    async with open_entry(answer, answer) as (entry, upstreams):
        for upstream in upstreams:
            upstream.server.close()
            await upstream.server.wait_closed()
        caller = await entry.connect()
        response = await caller.fetch(method="POST", body=b"book")
        assert response.headers["x-outcome"] == "not_run"
        assert entry.in_flight() == 0
        assert all(entry.pool.open_count(row) == 0 for row in entry.tables.upstreams())


async def test_server_error_of_a_non_idempotent_request_is_unknown():
    async with open_entry(fail, fail) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch(method="POST", body=b"book")
        assert (response.status, response.body) == (500, b"broken")
        assert response.headers["x-outcome"] == "unknown"


async def test_deadline_after_sending_is_unknown_and_frees_the_upstream():
    async with open_entry(hang) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request(method="POST", body=b"book", X_Deadline_Ms="300"))
        await upstreams[0].arrived.wait()
        assert upstreams[0].requests[0].headers["x-deadline-ms"] == "300"
        entry.pass_time(299)
        assert entry.in_flight() == 1
        entry.pass_time(1)
        response = await caller.read()
        assert response.status == 504
        assert response.headers["x-outcome"] == "unknown"
        assert entry.in_flight() == 0
        assert entry.pool.open_count(next(entry.tables.upstreams())) == 0


async def test_caller_disconnect_cancels_the_attempt():
    async with open_entry(hang) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request())
        await upstreams[0].arrived.wait()
        caller.writer.close()
        while entry.forwarder.active:
            await asyncio.sleep(0)
        assert entry.in_flight() == 0
        assert entry.pool.open_count(next(entry.tables.upstreams())) == 0


async def test_truncated_response_never_looks_complete():
    async def short_chunks(upstream, message, writer):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"5\r\nhello\r\n")
        await writer.drain()
        writer.close()

    for script in (cut, short_chunks):
        async with open_entry(script) as (entry, upstreams):
            caller = await entry.connect()
            response = await caller.fetch()
            assert not response.complete or response.status >= 500


async def test_response_without_framing_is_refused():
    async def script(upstream, message, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
        await writer.drain()
        writer.close()

    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch()
        assert response.status == 502
        assert response.headers["x-error-code"] == "response_unframed"


async def test_late_bytes_do_not_reach_the_next_request():
    async def answer_twice(upstream, message, writer):
        writer.write(fixed(b"mine") + fixed(b"late"))

    async with open_entry(answer_twice) as (entry, upstreams):
        caller = await entry.connect()
        for _ in range(4):
            assert (await caller.fetch()).body == b"mine"
        assert upstreams[0].connections == 4


async def test_pipelined_requests_are_answered_in_order():
    async def script(upstream, message, writer):
        writer.write(fixed(message.line.split(" ")[1].encode()))

    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request("/a/1") + request("/a/2") + request("/a/3"))
        bodies = [(await caller.read()).body for _ in range(3)]
        assert bodies == [b"/a/1", b"/a/2", b"/a/3"]


async def test_unexpected_failure_is_typed_and_frees_the_upstream():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        assert (await caller.fetch()).status == 200

        def raise_error(*args, **options):
            raise RuntimeError("unforeseen")

        entry.pool.acquire = raise_error
        response = await caller.fetch()
        assert response.status == 500
        assert response.headers["x-error-code"] == "internal"
        assert entry.in_flight() == 0


async def test_load_and_drain_state_are_reported_but_not_forwarded():
    async def draining(upstream, message, writer):
        writer.write(fixed(X_Upstream_Load="2", X_Upstream_State="draining"))

    async with open_entry(draining) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch()
        assert not any(name.startswith("x-upstream") for name in response.headers)
        statement = entry.router.reports[0].statement
        assert (statement.in_flight, statement.leaving) == (2, True)


async def test_attempt_number_is_sent_to_upstreams():
    async with open_entry(abort, answer) as (entry, upstreams):
        caller = await entry.connect()
        assert (await caller.fetch()).status == 200
        seen = [
            item.headers["x-attempt"] for each in upstreams for item in each.requests
        ]
        assert seen in (["1", "2"], ["1"])


async def test_call_at_its_last_attempt_is_not_retried():
    async with open_entry(abort, abort) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch(X_Attempt="3")
        assert response.status == 502
        assert sum(len(each.requests) for each in upstreams) == 1


async def test_malformed_attempt_is_refused():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        response = await caller.fetch(X_Attempt="many")
        assert response.status == 400
        assert response.headers["x-outcome"] == "not_run"


async def test_early_response_ends_a_long_upload():
    async def refuse_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(fixed(b"too large", status=413))
        await reader.read(1)
        await asyncio.Event().wait()

    async with open_entry(answer) as (entry, upstreams):
        server = await asyncio.start_server(refuse_early, "127.0.0.1", 0)
        row = next(entry.tables.upstreams())
        row.port = server.sockets[0].getsockname()[1]
        caller = await entry.connect()
        await caller.send(request(method="POST", Content_Length="100000000"))
        await caller.send(b"x" * 200_000)
        response = await caller.read()
        assert (response.status, response.body) == (413, b"too large")
        assert entry.in_flight() == 0
        assert entry.pool.open_count(row) == 0
        server.close()


async def test_connection_is_closed_on_request():
    async with open_entry(answer) as (entry, upstreams):
        for value in ("close", "X-Other, Close"):
            caller = await entry.connect()
            response = await caller.fetch(Connection=value)
            assert response.headers["connection"] == "close"
            assert await caller.read_to_end() == b""


async def test_grant_delivered_after_an_abort_is_released():
    async with open_entry(answer) as (entry, upstreams):
        late = []

        def hold_back(call, deliver):
            late.append((call, deliver))

        request_grant = entry.router.request
        entry.router.request = hold_back
        caller = await entry.connect()
        await caller.send(request())
        while not late:
            await asyncio.sleep(0)
        entry.pass_time(1_000)
        response = await caller.read()
        assert response.headers["x-error-code"] == "deadline_exceeded"
        assert response.headers["x-outcome"] == "not_run"
        call, deliver = late.pop()
        call.deadline_ms += 1_000
        request_grant(call, deliver)
        assert entry.take_results() == [Result.CANCELLED]
        assert entry.in_flight() == 0
