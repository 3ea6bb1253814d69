"""The gate in front of the router that keeps the quotas of client accounts."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.accounts import Account, AccountTable
from mangohatch.core.call import Call, Decision, Deliver, Grant, Refusal, Report, Result
from mangohatch.core.limits.pending_permit import PendingPermit
from mangohatch.core.limits.quotas import QuotaPermits
from mangohatch.core.router import Router
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.errors import KeyRejected, RequestError

__all__ = ["QuotaGate"]

PERMIT_MS = 150.0  # life of a permit; what is given out may run this much later
# Of the time that the caller allows; the rest is for the queue and the work.
MAX_WAIT_SHARE = 0.4
MAX_WAIT_MS = 2_500.0  # the loss of an owner is noticed within about 1.5 s


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """
    A call of an account on its way through the gate.

    ``account`` is None if it needs no permit. ``pending`` is its request for a permit;
    ``asked_ms`` is when the permit that it holds was asked for, minus infinity if it
    holds none. ``grant`` is the upstream that waits for a new permit.
    """

    call: Call
    deliver: Deliver
    account: Account | None
    pending: PendingPermit | None = None
    asked_ms: float = -math.inf
    grant: Grant | None = None


class QuotaGate:
    """
    Lets a call to the router once it has a permit of its account.

    The key is checked again before the call is sent: it may have been removed while the
    call waited or this host was paused. A permit that is older than ``PERMIT_MS`` by
    then is void, and the call keeps its upstream for the short time until it has
    another one; so a backlog that is served at once stays within the quota.

    Calls without an account pass as if there were no gate.

    :param clock: source of time
    :param router: places the calls
    :param accounts: the accounts in force
    :param permits: gives the permits
    :param timers: ends permits of calls that wait in the queue
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        accounts: AccountTable,
        permits: QuotaPermits,
        timers: Timers,
    ) -> None:
        self._clock = clock
        self._router = router
        self._accounts = accounts
        self._permits = permits
        self._timers = timers
        self._tickets: dict[int, Ticket] = {}

    def request(self, call: Call, deliver: Deliver) -> None:
        """
        Request an upstream for a call.

        :param call: the call, with the account that its key identifies
        :param deliver: called with exactly one grant or refusal
        """
        if not call.account:
            self._router.request(call, deliver)
            return
        if not self._has_valid_key(call):
            deliver(Refusal(call=call, error=make_key_error()))
            return
        account = self._permits.find_limited(call.account)
        ticket = Ticket(call=call, deliver=deliver, account=account)
        self._tickets[id(call)] = ticket
        if account is None:
            self._place(ticket)
        else:
            self._ask(ticket, lambda answer: self._start(ticket, answer))

    def cancel(self, call: Call) -> None:
        """
        Cancel a waiting call; its ``deliver`` is never called.

        :param call: a call passed to :meth:`request`
        """
        ticket = self._tickets.pop(id(call), None)
        if ticket is None:
            self._router.cancel(call)
            return
        if ticket.grant is not None:
            self._release_unused(ticket.grant)
        elif ticket.pending is None:
            self._router.cancel(call)
        if ticket.pending is not None:
            self._permits.cancel(ticket.pending)
        self._return_permit(ticket)

    def release(self, grant: Grant, report: Report) -> None:
        """
        End a grant, and return its permit if the attempt has certainly not run.

        :param grant: the grant that ended
        :param report: result of the attempt
        """
        self._router.release(grant, report)
        if report.not_run:
            account = self._permits.find_limited(grant.call.account)
            if account is not None:
                self._permits.put_back(account)

    def has_room(self, call: Call) -> bool:
        """
        Return whether an upstream may take a call now.

        :param call: the call, with the upstreams to avoid
        :return: the answer of the router
        """
        return self._router.has_room(call)

    def observe(self, upstream: UpstreamRow, statement: UpstreamStatement) -> None:
        """
        Record what an upstream says of itself, as soon as its response begins.

        :param upstream: the upstream
        :param statement: the decoded head of the response
        """
        self._router.observe(upstream, statement)

    def tick(self) -> None:
        """Run the periodic tasks of the permits and of the router."""
        self._permits.tick()
        self._router.tick()

    def _ask(
        self, ticket: Ticket, deliver: Callable[[float | RequestError], None]
    ) -> None:
        assert ticket.account is not None
        call = ticket.call
        share_ms = MAX_WAIT_SHARE * (call.deadline_ms - call.arrived_ms)
        rest_ms = call.deadline_ms - self._clock.now_ms()
        answered = False

        def receive(answer: float | RequestError) -> None:
            nonlocal answered
            answered = True
            ticket.pending = None
            deliver(answer)

        pending = self._permits.request(
            ticket.account,
            wait_ms=min(share_ms, rest_ms, MAX_WAIT_MS),
            deliver=receive,
        )
        if not answered:
            ticket.pending = pending

    def _start(self, ticket: Ticket, answer: float | RequestError) -> None:
        if isinstance(answer, RequestError):
            self._refuse(ticket, answer)
            return
        ticket.asked_ms = answer
        left_ms = answer + PERMIT_MS - self._clock.now_ms()
        if left_ms <= 0.0:
            self._return_permit(ticket)
        self._place(ticket)
        if self._tickets.get(id(ticket.call)) is ticket and self._holds_permit(ticket):
            self._timers.call_later(left_ms, lambda: self._end_permit(ticket))

    def _place(self, ticket: Ticket) -> None:
        self._router.request(
            ticket.call, lambda decision: self._decide(ticket, decision)
        )

    def _end_permit(self, ticket: Ticket) -> None:
        if self._tickets.get(id(ticket.call)) is ticket:
            self._return_permit(ticket)

    def _decide(self, ticket: Ticket, decision: Decision) -> None:
        if isinstance(decision, Refusal):
            self._refuse(ticket, decision.error)
            return
        if not self._has_valid_key(ticket.call):
            self._release_unused(decision)
            self._refuse(ticket, make_key_error())
            return
        is_late = self._clock.now_ms() > ticket.asked_ms + PERMIT_MS
        if ticket.account is None or not is_late:
            self._grant(ticket, decision)
            return
        self._return_permit(ticket)
        ticket.grant = decision
        self._ask(ticket, lambda answer: self._renew(ticket, decision, answer))

    def _renew(
        self, ticket: Ticket, grant: Grant, answer: float | RequestError
    ) -> None:
        if isinstance(answer, RequestError):
            self._release_unused(grant)
            self._refuse(ticket, answer)
        else:
            self._grant(ticket, grant)

    def _grant(self, ticket: Ticket, grant: Grant) -> None:
        del self._tickets[id(ticket.call)]
        ticket.deliver(grant)

    def _refuse(self, ticket: Ticket, error: RequestError) -> None:
        del self._tickets[id(ticket.call)]
        self._return_permit(ticket)
        ticket.deliver(Refusal(call=ticket.call, error=error))

    def _holds_permit(self, ticket: Ticket) -> bool:
        return math.isfinite(ticket.asked_ms)

    def _return_permit(self, ticket: Ticket) -> None:
        if self._holds_permit(ticket) and ticket.account is not None:
            ticket.asked_ms = -math.inf
            self._permits.put_back(ticket.account)

    def _release_unused(self, grant: Grant) -> None:
        self._router.release(grant, Report(result=Result.CANCELLED, latency_ms=0.0))

    def _has_valid_key(self, call: Call) -> bool:
        account = self._accounts.find(call.account)
        return account is not None and call.key_digest in account.key_digests


def make_key_error() -> KeyRejected:
    """
    Make the error for a key that was removed while its request waited.

    :return: the error
    """
    return KeyRejected("the key of the request was removed", cause="removed")
