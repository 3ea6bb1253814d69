"""Two attempts of one request at once; the first valid response head wins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from mangohatch.clock import Clock
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.router import Router
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.sink import CallerSink
from mangohatch.errors import AttemptSuperseded, RequestError, UpstreamWithdrawn
from mangohatch.upstream.body_end import BodyEnd
from mangohatch.upstream.response import ResponseHead, ResponseSink

__all__ = ["Race", "RaceSink"]


class Race:
    """
    The first attempt of a request and a second one beside it, here called its hedge.

    Each attempt has an :class:`ActiveRequest` of its own, with the same sink and body.
    Only the winner writes to the sink. The other attempt is cancelled as soon as there
    is a winner, and its connection is closed.

    :param first: the request as it was admitted
    :param hedge: the copy for the second attempt
    :param router: cancels the hedge while it waits for a decision
    :param clock: source of time
    """

    def __init__(
        self,
        *,
        first: ActiveRequest,
        hedge: ActiveRequest,
        router: Router | QuarantineGate,
        clock: Clock,
    ) -> None:
        assert first.upstream is not None
        self.first_upstream = first.upstream.name
        self.winner: ActiveRequest | None = None
        self._first = first
        self._hedge = hedge
        self._router = router
        self._clock = clock
        self._first_ended = False
        self._task: asyncio.Task[RequestError | None] | None = None
        self.on_won: Callable[[], None] | None = None

    @property
    def hedge_upstream(self) -> str:
        """Name of the upstream of the hedge, empty if it got none."""
        return self._hedge.upstream.name if self._hedge.upstream else ""

    @property
    def winner_upstream(self) -> str:
        """Name of the upstream whose response won, empty if none did."""
        if self.winner is None:
            return ""
        return (
            self.first_upstream if self.winner is self._first else self.hedge_upstream
        )

    def start(self, task: asyncio.Task[RequestError | None]) -> None:
        """
        Record the task of the hedge.

        :param task: runs the hedge; its result is its failure, None after a response
        """
        self._task = task

    def is_last(self, req: ActiveRequest) -> bool:
        """
        Return whether the other attempt has ended without a response.

        :param req: one of the attempts
        :return: whether the request fails if this attempt does
        """
        if req is self._first:
            return self._task is not None and self._task.done()
        return self._first_ended

    def check(self, req: ActiveRequest) -> None:
        """
        Check that an attempt may still win.

        :param req: one of the attempts
        :raises AttemptSuperseded: when the other one has won
        """
        if self.winner not in (None, req):
            raise superseded()

    def claim(self, req: ActiveRequest) -> bool:
        """
        Declare an attempt the winner unless there is one, and cancel the other attempt.

        :param req: one of the attempts, with the head of a valid response
        :return: whether it is the winner
        """
        if self.winner is None:
            self.winner = req
            if req is self._first:
                self._hedge.abort(superseded(), self._router)
            else:
                self._first.abort_attempt(superseded())
                if self.on_won is not None:
                    self.on_won()
        return self.winner is req

    def abort(self, error: RequestError) -> None:
        """
        Abort the hedge because its request is aborted.

        :param error: reason
        """
        self._hedge.abort(error, self._router)

    async def settle(self, error: RequestError | None) -> RequestError | None:
        """
        End the race after the end of the first attempt.

        Waits for the hedge unless the first attempt won, and makes the request look as
        after the attempt that decided about it.

        :param error: failure of the first attempt, None after a complete response
        :return: failure of the request, None after a complete response
        :raises RequestError: when the request was aborted meanwhile
        """
        first, hedge, task = self._first, self._hedge, self._task
        assert task is not None
        hedge_ended_first = task.done()
        self._first_ended = True
        if self.winner is first:
            self._end()
            return error
        waited_since_ms = self._clock.now_ms()
        await asyncio.wait({task})
        first.upstream_ms += self._clock.now_ms() - waited_since_ms
        self._end()
        if first.failure is not None:
            raise first.failure
        hedge_error = task.result()
        if self.winner is hedge:
            if hedge.failure is not None:
                raise hedge.failure
            self._adopt_hedge()
            return hedge_error
        assert hedge_error is not None
        if hedge.grant is None or isinstance(hedge_error, UpstreamWithdrawn):
            return error  # the hedge was not sent
        first.call = replace(first.call, avoid=hedge.call.avoid | {self.hedge_upstream})
        if hedge_ended_first:
            return error
        self._adopt_hedge()
        return hedge_error

    def dissolve(self) -> None:
        """Let the first attempt go on alone after a hedge that was not sent."""
        if not self._first_ended and self.winner is None:
            self._end()
            self._first.hedged = None

    def merge(self) -> None:
        """Count what the hedge may have run, also if the request ends before it."""
        first, hedge = self._first, self._hedge
        first.may_have_run = first.may_have_run or hedge.may_have_run

    def _end(self) -> None:
        self.merge()
        first, hedge = self._first, self._hedge
        if hedge.grant is None:
            first.call = replace(first.call, attempt=first.call.attempt - 1)
        first.hedged = (self.first_upstream, self.hedge_upstream, self.winner_upstream)
        first.race = None

    def _adopt_hedge(self) -> None:
        first, hedge = self._first, self._hedge
        first.call = replace(first.call, avoid=first.call.avoid | hedge.call.avoid)
        first.upstream = hedge.upstream
        first.grant = hedge.grant
        first.relay = hedge.relay
        first.cut_off = hedge.cut_off
        first.retry_allowed = hedge.retry_allowed


class RaceSink(ResponseSink):
    """
    Passes the response of the winner to the caller and discards any other.

    :param sink: writes to the caller
    :param race: the race
    :param req: the attempt whose response this is
    """

    def __init__(self, *, sink: CallerSink, race: Race, req: ActiveRequest) -> None:
        self._sink = sink
        self._race = race
        self._req = req

    def start(self, head: ResponseHead, *, body_pending: bool) -> None:
        if self._race.claim(self._req):
            self._sink.start(head, body_pending=body_pending)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        if self._race.winner is self._req:
            return self._sink.write(chunk)
        return None

    def finish(self, end: BodyEnd) -> None:
        if self._race.winner is self._req:
            self._sink.finish(end)


def superseded() -> AttemptSuperseded:
    """
    Make the error of the attempt that lost.

    :return: the error
    """
    return AttemptSuperseded("the other attempt received a response first")
