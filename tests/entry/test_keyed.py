"""Tests of requests with an idempotency key."""

from mangohatch.claims import Answer, ClaimRegistry, ClaimTicket
from mangohatch.errors import Outcome, OutcomeUnknown
from tests.entry.harness import fixed, open_entry
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


class MemoryRegistry(ClaimRegistry):
    """A claim registry in memory."""

    def __init__(self) -> None:
        self.ended: dict[str, tuple[Outcome, Answer | None]] = {}

    async def begin(self, *, service, key, request_id, deadline_ms):
        outcome, answer = self.ended.get(key, (Outcome.NOT_RUN, None))
        if outcome is Outcome.UNKNOWN:
            raise OutcomeUnknown("the first attempt was lost")
        return answer or MemoryTicket(self, key)


class MemoryTicket(ClaimTicket):
    """A ticket of :class:`MemoryRegistry`."""

    def __init__(self, registry, key) -> None:
        self.registry = registry
        self.key = key

    async def finish(self, outcome, answer) -> None:
        self.registry.ended[self.key] = (outcome, answer)


@fixture
def registry():
    return MemoryRegistry()


async def book(upstream, message, writer):
    number = len(upstream.requests)
    writer.write(fixed(f"booked {number}".encode(), Content_Type="text/plain"))


async def fetch(caller, key="k1", **headers):
    fields = {"Idempotency-Key": key} | headers
    return await caller.fetch(method="POST", body=b"book", **fields)


async def test_resend_receives_the_first_answer(registry):
    async with open_entry(book, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        first = await fetch(caller)
        second = await fetch(caller)
        assert first.body == second.body == b"booked 1"
        assert "x-replayed" not in first.headers
        assert second.headers["x-replayed"] == "true"
        assert second.headers["content-type"] == "text/plain"
        assert second.headers["x-outcome"] == "done"
        assert first.headers["x-request-id"] != second.headers["x-request-id"]
        assert len(upstreams[0].requests) == 1


async def test_key_is_scoped_to_customer_method_and_path(registry):
    async with open_entry(book, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        await fetch(caller, X_Customer="c1")
        await fetch(caller, X_Customer="c2")
        await fetch(caller, key="k2", X_Customer="c1")
        await caller.fetch("/a/y", method="POST", body=b"", **{"Idempotency-Key": "k1"})
        assert len(upstreams[0].requests) == 4


async def test_unknown_outcome_is_kept(registry):
    async def abort(upstream, message, writer):
        writer.transport.abort()

    async with open_entry(abort, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        for code in ("upstream_aborted", "outcome_unknown"):
            response = await fetch(caller)
            assert response.headers["x-outcome"] == "unknown"
            assert response.headers["x-error-code"] == code
        assert len(upstreams[0].requests) == 1


async def test_request_not_run_can_be_resent(registry):
    async def shed_first(upstream, message, writer):
        if len(upstream.requests) == 1:
            writer.write(fixed(b"", status=503, X_Outcome="not_run"))
        else:
            writer.write(fixed(b"booked"))

    async with open_entry(shed_first, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        assert (await fetch(caller)).headers["x-outcome"] == "not_run"
        assert (await fetch(caller)).body == b"booked"


async def test_long_answer_is_not_kept_and_not_run_again(registry):
    async def answer_long(upstream, message, writer):
        writer.write(fixed(b"x" * 100_000))

    async with open_entry(answer_long, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        assert len((await fetch(caller)).body) == 100_000
        response = await fetch(caller)
        assert response.headers["x-error-code"] == "answer_not_kept"
        assert response.headers["x-outcome"] == "done"
        assert len(upstreams[0].requests) == 1


async def test_key_of_an_idempotent_request_is_not_claimed(registry):
    async with open_entry(book, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        for _ in range(2):
            await caller.fetch(**{"Idempotency-Key": "k1"})
        assert len(upstreams[0].requests) == 2
        assert not registry.ended
