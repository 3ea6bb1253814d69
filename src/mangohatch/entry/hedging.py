"""Sends second attempts of requests beside slow first ones."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.hedging import HedgeRefusal, HedgeSystem
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.router import Router
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.race import Race
from mangohatch.errors import InternalFailure, RequestError

__all__ = ["HedgeRunner"]

log = structlog.get_logger()

RunAttempt = Callable[[ActiveRequest], Awaitable[RequestError | None]]


class HedgeRunner:
    """
    Sends second attempts beside slow ones.

    :param clock: source of time
    :param router: selects upstreams
    :param hedges: decides whether a request gets a second attempt
    :param active: the attempts that are checked for deadlines and silence
    :param run_attempt: admits an attempt and runs it; returns its failure
    :param spend_retry: takes one retry of a request from the retry budget
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router | QuarantineGate,
        hedges: HedgeSystem,
        active: set[ActiveRequest],
        run_attempt: RunAttempt,
        spend_retry: Callable[[ActiveRequest], bool],
    ) -> None:
        self._clock = clock
        self._router = router
        self._hedges = hedges
        self._active = active
        self._run_attempt = run_attempt
        self._spend_retry = spend_retry
        self._tasks: set[asyncio.Task[RequestError | None]] = set()

    def earn(self, call: Call) -> None:
        """
        Count a request.

        :param call: the call at its first attempt
        """
        self._hedges.earn(call)

    def try_start(self, req: ActiveRequest) -> bool:
        """
        Send a second attempt beside an attempt, if it is late and one is permitted.

        :param req: a request without a response whose attempt was sent
        :return: whether two attempts of the request run now
        """
        if req.race is not None:
            return not req.race.is_last(req)
        grant = req.grant
        if not self._hedges.enabled or grant is None or not can_hedge(req):
            return False
        if not self._hedges.is_late(grant):
            return False
        call = replace(
            req.call,
            avoid=req.call.avoid | {grant.upstream.name},
            attempt=req.call.attempt + 1,
            hedge=True,
        )
        if call.idempotent and req.body is not None and req.body.has_rest:
            # Only one attempt can read what is not kept.
            refusal: HedgeRefusal | None = HedgeRefusal.BODY
        else:
            refusal = self._hedges.take(grant, call, lambda: self._spend_retry(req))
        if refusal is not None:
            self._count_refusal(req, refusal)
            return False
        self._start(req, call)
        return True

    def _count_refusal(self, req: ActiveRequest, refusal: HedgeRefusal) -> None:
        if req.hedge_refusal is not refusal:
            req.hedge_refusal = refusal
            self._hedges.refused[refusal] += 1

    def _start(self, req: ActiveRequest, call: Call) -> None:
        hedge = ActiveRequest(
            call=call,
            line=req.line,
            headers=req.headers.copy(),
            body=req.body,
            sink=req.sink,
        )
        race = Race(first=req, hedge=hedge, router=self._router, clock=self._clock)
        race.on_won = self._count_win
        req.race = hedge.race = race
        req.call = replace(req.call, attempt=call.attempt)
        self._active.add(hedge)
        task = asyncio.create_task(self._run(hedge))
        race.start(task)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _count_win(self) -> None:
        self._hedges.won += 1

    async def _run(self, hedge: ActiveRequest) -> RequestError | None:
        try:
            return await self._run_attempt(hedge)
        except RequestError as exc:
            return exc
        except Exception:
            log.exception("hedge_failed", request_id=hedge.call.request_id)
            return InternalFailure("the entry host failed")
        finally:
            self._active.discard(hedge)
            if hedge.grant is None:
                self._hedges.give_back(hedge.call)
            else:
                self._hedges.sent += 1


def can_hedge(req: ActiveRequest) -> bool:
    """
    Return whether an attempt is in a state in which a second one may run beside it.

    :param req: a request in flight
    :return: whether no byte of a response was received and the attempt is not about to
        end
    """
    return (
        req.awaits_head
        and not req.sink.sent
        and req.continuation is None
        and req.failure is None
        and req.attempt_failure is None
        and not req.retry_allowed
    )
