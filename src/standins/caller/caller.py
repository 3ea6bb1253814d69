"""A caller that resends a request through another entry host where that is safe."""

import asyncio
import random

from tornado.httputil import HTTPHeaders

from mangohatch.clock import Clock
from standins.caller.balancer import Balancer
from standins.caller.connection import Address, BrokenReply, Reply
from standins.caller.plan import PlannedRequest, RequestKind
from standins.caller.record import Attempt, AttemptResult, Record
from standins.upstream.content import check_answer, download_bytes

__all__ = ["Caller", "classify"]

MAX_ATTEMPTS = 6
BACKOFF_MS = 25.0
REPLY_GRACE_MS = 500.0
CONFIRMATION_BODY = b'{"confirm": true}'
RESENDABLE_KINDS = {
    AttemptResult.NOT_RUN: frozenset(RequestKind),
    AttemptResult.IN_PROGRESS: frozenset({RequestKind.KEYED}),
    AttemptResult.UNKNOWN: frozenset(RequestKind) - {RequestKind.UNKEYED},
    AttemptResult.BROKEN: frozenset(RequestKind) - {RequestKind.UNKEYED},
    AttemptResult.SILENT: frozenset(RequestKind) - {RequestKind.UNKEYED},
    AttemptResult.FAILED: frozenset({RequestKind.LOOKUP, RequestKind.DOWNLOAD}),
}


def classify(request: PlannedRequest, reply: Reply) -> AttemptResult:
    """
    Classify a complete reply.

    :param request: the request that was sent
    :param reply: the reply to it
    :return: the result of the attempt
    """
    if reply.status == 200:
        return check_content(request, reply.body)
    outcome = reply.headers.get("X-Outcome", "")
    if reply.headers.get("X-Error-Code") == "request_in_progress":
        return AttemptResult.IN_PROGRESS
    if outcome == "not_run":
        return AttemptResult.NOT_RUN
    if outcome == "unknown":
        return AttemptResult.UNKNOWN
    return AttemptResult.FAILED


def check_content(request: PlannedRequest, body: bytes) -> AttemptResult:
    """
    Check that a body is complete and belongs to the request.

    :param request: the request that was sent
    :param body: the body of a complete reply
    :return: ``DONE``; ``TRUNCATED`` for the beginning of a download; otherwise
        ``MIXED``
    """
    size = request.download_bytes
    if not size:
        matches = check_answer(body, request.request_id, request.path)
        return AttemptResult.DONE if matches else AttemptResult.MIXED
    expected = download_bytes(request.path, 1, 0, size)
    if body == expected:
        return AttemptResult.DONE
    if expected.startswith(body):
        return AttemptResult.TRUNCATED
    return AttemptResult.MIXED


class Caller:
    """Sends requests and records the result of each attempt."""

    def __init__(self, *, balancer: Balancer, clock: Clock, rng: random.Random) -> None:
        self.records: list[Record] = []
        self._balancer = balancer
        self._clock = clock
        self._rng = rng

    async def send(
        self, request: PlannedRequest, *, due_ms: float | None = None
    ) -> Record:
        """
        Send a request and resend it where that is safe, until it has a final result.

        :param request: the request
        :param due_ms: time at which the request should be sent, in ms of the
            caller's clock; latency is measured from it, and from now without it
        :return: the attempts, the latency and the send delay
        """
        record = Record(request=request)
        self.records.append(record)
        now_ms = self._clock.now_ms()
        started_ms = now_ms if due_ms is None else due_ms
        record.lag_ms = now_ms - started_ms
        avoid: Address | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            address = self._balancer.choose(avoid)
            attempt = await self._attempt(request, number, address)
            record.attempts.append(attempt)
            if request.kind not in RESENDABLE_KINDS.get(attempt.result, ()):
                break
            avoid = address
            if number < MAX_ATTEMPTS:
                await asyncio.sleep(self._backoff_ms(number) / 1000)
        record.latency_ms = self._clock.now_ms() - started_ms
        return record

    async def run(self, plan: list[PlannedRequest]) -> None:
        """
        Send each request at its planned time, without waiting for earlier requests.

        :param plan: requests in order of planned time
        """
        started_ms = self._clock.now_ms()
        async with asyncio.TaskGroup() as group:
            for request in plan:
                due_ms = started_ms + request.at_ms
                wait_ms = due_ms - self._clock.now_ms()
                if wait_ms > 0:
                    await asyncio.sleep(wait_ms / 1000)
                group.create_task(self.send(request, due_ms=due_ms))

    def _backoff_ms(self, number: int) -> float:
        return BACKOFF_MS * 2**number * self._rng.uniform(0.5, 1.5)

    async def _attempt(
        self, request: PlannedRequest, number: int, address: Address
    ) -> Attempt:
        try:
            async with asyncio.timeout((request.deadline_ms + REPLY_GRACE_MS) / 1000):
                reply = await self._exchange(request, number, address)
        except BrokenReply:
            result = AttemptResult.BROKEN
        except TimeoutError:
            result = AttemptResult.SILENT
        else:
            return Attempt(
                number=number,
                entry_port=address[1],
                result=classify(request, reply),
                status=reply.status,
                code=reply.headers.get("X-Error-Code", ""),
            )
        return Attempt(number=number, entry_port=address[1], result=result)

    async def _exchange(
        self, request: PlannedRequest, number: int, address: Address
    ) -> Reply:
        conn = await self._balancer.acquire(address)
        method = "GET" if request.kind.idempotent else "POST"
        body = None if request.kind.idempotent else CONFIRMATION_BODY
        headers = make_headers(request, number, body)
        try:
            return await conn.exchange(method, request.target, headers, body)
        finally:
            self._balancer.release(address, conn)


def make_headers(
    request: PlannedRequest, number: int, body: bytes | None
) -> HTTPHeaders:
    """
    Build the header fields of an attempt.

    :param request: the request
    :param number: number of the attempt, starting at 1
    :param body: request body, None without one
    :return: header fields
    """
    headers = HTTPHeaders(
        {
            "Host": "127.0.0.1",
            "X-Deadline-Ms": f"{request.deadline_ms:.0f}",
            "X-Caller-Attempt": str(number),
        }
    )
    if body is not None:
        headers["Content-Length"] = str(len(body))
    if request.kind is RequestKind.KEYED:
        headers["Idempotency-Key"] = request.request_id
    return headers
