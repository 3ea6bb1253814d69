"""Tests of the stand-in upstream over real sockets."""

import asyncio
import contextlib
import json

from tornado.simple_httpclient import HTTPStreamClosedError, SimpleAsyncHTTPClient

from mangohatch.clock import SystemClock
from standins.upstream import Behaviour, ReportMode, Upstream
from standins.upstream.content import check_answer, download_bytes
from tests.functions import function_tests

load_tests = function_tests(__name__)


@contextlib.contextmanager
def running(**behaviour):
    upstream = Upstream(
        name="u1", seed=1, clock=SystemClock(), behaviour=Behaviour(**behaviour)
    )
    upstream.listen(0)
    try:
        yield upstream
    finally:
        upstream.close()


async def fetch(upstream, path, **options):
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)
    url = f"http://127.0.0.1:{upstream.port}{path}"
    try:
        return await client.fetch(url, raise_error=False, **options)
    except HTTPStreamClosedError:
        return None
    finally:
        client.close()


async def wait_for(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def test_answer_names_its_request_and_counts_its_run():
    with running() as upstream:
        response = await fetch(upstream, "/desk/a?id=r1")
        assert check_answer(response.body, "r1", "/desk/a")
        assert not check_answer(response.body, "r2", "/desk/a")
        assert not check_answer(response.body[:-1], "r1", "/desk/a")
        assert response.headers["X-Upstream-Load"] == "0"
        runs = json.loads((await fetch(upstream, "/runs")).body)
        assert runs["runs"] == {"r1": {"method": "GET", "attempts": [""]}}


async def test_third_request_waits_for_one_of_two_slots():
    with running(queue_limit=1) as upstream:
        held = [
            asyncio.create_task(fetch(upstream, "/a?work_ms=60000")) for _ in range(3)
        ]
        await wait_for(lambda: upstream.slots.in_flight == 3)
        assert (upstream.slots.running, upstream.slots.waiting) == (2, 1)
        shed = await fetch(upstream, "/a?id=r4")
        assert (shed.code, shed.headers["X-Outcome"]) == (503, "not_run")
        assert "r4" not in upstream.ledger.runs
        for task in held:
            task.cancel()


async def test_closed_connection_cancels_work_and_queue():
    with running(slots=1) as upstream:
        line = b"GET /a?work_ms=60000&id=r%d HTTP/1.1\r\nHost: a\r\n\r\n"
        writers = []
        for number in range(2):
            _, writer = await asyncio.open_connection("127.0.0.1", upstream.port)
            writer.write(line % number)
            writers.append(writer)
            await wait_for(lambda: upstream.slots.in_flight == len(writers))
        for writer in reversed(writers):
            writer.close()
            await writer.wait_closed()
        await wait_for(lambda: upstream.slots.in_flight == 0)
        assert list(upstream.ledger.runs) == ["r0"]


async def test_deadline_that_passes_in_the_queue_is_not_run():
    with running(slots=1) as upstream:
        held = asyncio.create_task(fetch(upstream, "/a?work_ms=60000"))
        await wait_for(lambda: upstream.slots.running == 1)
        late = await fetch(upstream, "/a?id=r1", headers={"X-Deadline-Ms": "5"})
        assert (late.code, late.headers["X-Outcome"]) == (504, "not_run")
        assert not upstream.ledger.runs
        held.cancel()


async def test_drain_is_reported_and_new_work_is_refused():
    with running(drain_grace_ms=0) as upstream:
        await fetch(upstream, "/control", method="PUT", body='{"draining": true}')
        refused = await fetch(upstream, "/a?id=r1")
        assert refused.code == 503
        assert refused.headers["X-Upstream-State"] == "draining"
        health = json.loads((await fetch(upstream, "/health")).body)
        assert health["state"] == "draining"
        lying = '{"report_mode": "lying"}'
        await fetch(upstream, "/control", method="PUT", body=lying)
        health = json.loads((await fetch(upstream, "/health")).body)
        assert health["state"] == "ok"
        assert upstream.ledger.measuring_calls == 2


async def test_invalid_behaviour_change_is_rejected_as_a_whole():
    with running() as upstream:
        body = '{"slots": 4, "no_such_setting": 1}'
        response = await fetch(upstream, "/control", method="PUT", body=body)
        assert response.code == 400
        assert upstream.behaviour == Behaviour()


async def test_crash_drops_connections_and_keeps_counts():
    with running(restart_ms=1) as upstream:
        held = asyncio.create_task(fetch(upstream, "/a?id=r1&work_ms=60000"))
        await wait_for(lambda: upstream.slots.running == 1)
        response = await fetch(upstream, "/a?id=r2&crash=1")
        assert response is None
        assert await held is None
        await wait_for(lambda: not upstream.down)
        assert (await fetch(upstream, "/a?id=r3")).code == 200
        assert list(upstream.ledger.runs) == ["r1", "r2", "r3"]
        assert (upstream.ledger.crashes, upstream.slots.in_flight) == (1, 0)


async def test_silent_connection_discards_bytes_while_a_new_one_works():
    with running() as upstream:
        reader, writer = await asyncio.open_connection("127.0.0.1", upstream.port)
        writer.write(b"GET /a?id=r1 HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        assert upstream.silence() == 1
        writer.write(b"GET /a?id=r2 HTTP/1.1\r\nHost: a\r\n\r\n")
        await writer.drain()
        assert (await fetch(upstream, "/a?id=r3")).code == 200
        assert list(upstream.ledger.runs) == ["r1", "r3"]
        writer.close()


async def test_download_continues_only_on_the_same_entity_tag():
    with running() as upstream:
        path = "/media/book?download=100000"
        whole = await fetch(upstream, path)
        assert whole.body == download_bytes("/media/book", 1, 0, 100_000)
        headers = {"Range": "bytes=70000-", "If-Range": whole.headers["Etag"]}
        part = await fetch(upstream, path, headers=headers)
        assert (part.code, part.body) == (206, whole.body[70_000:])
        assert part.headers["Content-Range"] == "bytes 70000-99999/100000"
        headers["If-Range"] = '"other"'
        assert (await fetch(upstream, path, headers=headers)).code == 200
        beyond = {"Range": "bytes=100000-"}
        assert (await fetch(upstream, path, headers=beyond)).code == 416


async def test_connections_above_the_limit_are_refused():
    with running(connection_limit=1) as upstream:
        _, writer = await asyncio.open_connection("127.0.0.1", upstream.port)
        await wait_for(lambda: upstream._server.streams)
        assert await fetch(upstream, "/a") is None
        writer.close()


def test_lagging_report_shows_earlier_load(clock):
    behaviour = Behaviour(report_mode=ReportMode.LAGGING, report_lag_ms=100)
    upstream = Upstream(name="u1", seed=1, clock=clock, behaviour=behaviour)
    upstream.record_load()
    upstream.slots.running = 2
    clock.advance(50)
    upstream.record_load()
    assert upstream.report().in_flight == 0
    clock.advance(100)
    assert upstream.report().in_flight == 2


def test_cold_start_slows_work_until_it_is_over(clock):
    behaviour = Behaviour(cold_ms=1000, cold_factor=5)
    upstream = Upstream(name="u1", seed=1, clock=clock, behaviour=behaviour)
    assert upstream.duration_ms(10) == 50
    clock.advance(500)
    assert upstream.duration_ms(10) == 30
    clock.advance(500)
    assert upstream.duration_ms(10) == 10
