"""Decides when a slow request gets a second attempt, and sends it."""

from collections.abc import Callable
from dataclasses import replace

from mangohatch.core.call import Call
from mangohatch.core.hedging import HedgeRefusal, HedgeSystem
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.second_attempt import SecondAttempts, can_run_beside

__all__ = ["HedgeRunner"]


class HedgeRunner:
    """
    Sends second attempts beside slow ones.

    :param hedges: decides whether a request gets a second attempt
    :param second_attempts: runs the second attempts
    :param spend_retry: takes one retry of a request from the retry budget
    """

    def __init__(
        self,
        *,
        hedges: HedgeSystem,
        second_attempts: SecondAttempts,
        spend_retry: Callable[[ActiveRequest], bool],
    ) -> None:
        self._hedges = hedges
        self._second_attempts = second_attempts
        self._spend_retry = spend_retry

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
        if not self._hedges.enabled or grant is None or not can_run_beside(req):
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
        hedge = self._second_attempts.start(req, call, on_ended=self._count)
        assert hedge.race is not None
        hedge.race.on_won = self._count_win

    def _count_win(self) -> None:
        self._hedges.won += 1

    def _count(self, hedge: ActiveRequest) -> None:
        if hedge.grant is None:
            self._hedges.give_back(hedge.call)
        else:
            self._hedges.sent += 1
