"""Permits for requests of client accounts, from one host per account."""

import random

import structlog

from mangohatch.clock import Clock
from mangohatch.core.accounts import Account, AccountTable
from mangohatch.core.limits.held_quota import HeldQuota
from mangohatch.core.limits.pending_permit import DeliverPermit, PendingPermit
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.limits.quota_broker import QuotaBroker, QuotaDecision
from mangohatch.core.limits.quota_line import QuotaLine
from mangohatch.core.limits.quota_members import QuotaMembers
from mangohatch.core.limits.quota_refusals import (
    make_exceeded,
    make_owner_starting,
    make_unanswered,
)
from mangohatch.core.timers import Timers
from mangohatch.errors import RequestError
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.quotas import QuotaAnswer, QuotaRequest, QuotaReturn

__all__ = ["QuotaPermits"]

JITTER = 0.2  # callers that were refused at once do not return at once
REPORT_MS = 100.0  # between reports of used permits that ask for no permit
UNANSWERED_RETRY_MS = 500.0  # about half the time until the loss of an owner is noticed
LOG_INTERVAL_MS = 1_000.0

log = structlog.get_logger()


class QuotaPermits:
    """
    Asks the owners of accounts for permits, and answers as the owner.

    The first request that waits for an account asks the owner; the others wait in its
    :class:`QuotaLine`. The message is repeated if no answer comes, to the owner at that
    time, so that the requests ask the next owner as soon as this host has noticed the
    loss of one. A late answer, as after a pause of this host, permits nothing.

    ``unanswered`` counts the requests that got no answer in time, and ``exceeded``
    those above their quota.

    :param clock: source of time
    :param rng: source of random numbers
    :param bus: messages to the owners
    :param timers: repeats requests without an answer
    :param accounts: the accounts in force
    :param bounds: what all hosts together may run; None to limit no account
    :param alone: whether the settings name no other host
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        bus: PeerBus,
        timers: Timers,
        accounts: AccountTable,
        bounds: QuotaBounds | None,
        alone: bool = False,
    ) -> None:
        self.bounds = bounds
        self.unanswered = 0
        self.exceeded = 0
        self._clock = clock
        self._rng = rng
        self._bus = bus
        self._timers = timers
        self._accounts = accounts
        self._members = QuotaMembers(clock=clock, bus=bus, alone=alone)
        self.broker = QuotaBroker(clock=clock, members=self._members)
        self._lines: dict[str, QuotaLine] = {}
        self._reports_due_ms: dict[str, float] = {}
        self._held: dict[str, HeldQuota] = {}
        # Answers to an earlier process of the same name have other numbers.
        self._number = rng.getrandbits(48)
        self._log_due_ms = 0.0
        bus.subscribe(QuotaRequest, self._receive_request)
        bus.subscribe(QuotaAnswer, self._receive_answer)
        bus.subscribe(QuotaReturn, self._receive_return)

    def find_limited(self, name: str) -> Account | None:
        """
        Find an account whose requests need permits.

        :param name: name of the account, empty for none
        :return: the account, None if its requests need no permit
        """
        if not name or self.bounds is None:
            return None
        account = self._accounts.find(name)
        return account if account is not None and account.limited else None

    def request(
        self, account: Account, *, wait_ms: float, deliver: DeliverPermit
    ) -> PendingPermit:
        """
        Ask for a permit for one request.

        :param account: an account whose requests need permits
        :param wait_ms: longest wait for the permit in milliseconds
        :param deliver: called with the time at which the permit was asked for, or with
            the error for the caller, unless the request is cancelled
        :return: the request, which can be cancelled
        """
        now_ms = self._clock.now_ms()
        item = PendingPermit(until_ms=now_ms + wait_ms, deliver=deliver)
        if self._take_held(account, now_ms):
            deliver(now_ms)
            return item
        line = self._find_line(account)
        line.add(item)
        if line.is_closed(now_ms) and not self._members.owns(account.name):
            self._refuse_all(line)
            return item
        if now_ms < line.ready_ms:
            self._refuse_short(line)
        if not item.ended:
            self._timers.call_later(wait_ms, lambda: self._give_up(line, item))
            if not line.number:
                self._ask(line)
        return item

    def cancel(self, item: PendingPermit) -> None:
        """
        Cancel a request for a permit.

        :param item: result of :meth:`request`
        """
        item.ended = True

    def put_back(self, account: Account) -> None:
        """
        Return the permit of a request that has certainly not run.

        :param account: the account of the request
        """
        if self.bounds is None:
            return
        owner = self._members.owner(account.name)
        if owner == self._bus.host_id:
            self.broker.put_back(account, self.bounds)
        elif owner:
            self._bus.send(owner, QuotaReturn(account=account.name))

    def tick(self) -> None:
        """Forget the tokens of accounts that this host does not own any more."""
        if self.bounds is not None and self._accounts.enabled:
            self.broker.tick()

    def _take_held(self, account: Account, now_ms: float) -> bool:
        if self._members.owns(account.name):
            return False
        held = self._held.get(account.name)
        if held is None or held.account is not account:
            held = self._held[account.name] = HeldQuota(account=account)
        if not held.take(now_ms):
            return False
        owner = self._members.owner(account.name)
        if owner and now_ms >= self._reports_due_ms.get(account.name, 0.0):
            self._number += 1
            self._send(owner, account, number=self._number, count=0)
        return True

    def _find_line(self, account: Account) -> QuotaLine:
        line = self._lines.get(account.name)
        if line is None:
            line = self._lines[account.name] = QuotaLine(account=account)
        line.account = account
        return line

    def _send(self, owner: str, account: Account, *, number: int, count: int) -> None:
        held = self._held.get(account.name)
        now_ms = self._clock.now_ms()
        self._reports_due_ms[account.name] = now_ms + REPORT_MS
        message = QuotaRequest(
            account=account.name,
            number=number,
            members=self._members.expected,
            count=count,
            ahead=held.ask(number, now_ms) if held is not None else 0,
            used=held.report_used() if held is not None else 0,
        )
        self._bus.send(owner, message)

    def _ask(self, line: QuotaLine) -> None:
        account = line.account
        owner = self._members.owner(account.name)
        if owner == self._bus.host_id and self.bounds is not None:
            now_ms = self._clock.now_ms()
            while line.waiting and not line.number:
                decision = self.broker.take(account, self.bounds)
                self._settle(line, decision, asked_ms=now_ms)
            return
        self._number += 1
        number = self._number
        delay_ms = line.record_sent(number, self._clock.now_ms())
        if owner:
            self._send(owner, account, number=number, count=1)
        self._ask_later(line, delay_ms)

    def _ask_later(self, line: QuotaLine, delay_ms: float) -> None:
        number = line.number

        def ask_again() -> None:
            if line.number != number:
                return
            line.number = 0
            if line.waiting:
                self._ask(line)

        self._timers.call_later(delay_ms, ask_again)

    def _settle(
        self, line: QuotaLine, decision: QuotaDecision, *, asked_ms: float
    ) -> None:
        if decision.granted:
            self._end(line.take(), asked_ms)
        elif decision.settling:
            self._wait_for_owner(line, decision.wait_ms)
        else:
            hosts = len(self._bus.members())
            now_ms = self._clock.now_ms()
            line.close(decision.wait_ms, hosts=hosts, now_ms=now_ms)
            self._refuse_all(line)

    @staticmethod
    def _end(item: PendingPermit, answer: float | RequestError) -> None:
        item.ended = True
        item.deliver(answer)

    def _wait_for_owner(self, line: QuotaLine, wait_ms: float) -> None:
        """Ask an owner that has just started again, for those that may wait for it."""
        line.ready_ms = self._clock.now_ms() + wait_ms
        self._refuse_short(line)
        if line.waiting:
            self._number += 1
            line.number = self._number
            self._ask_later(line, wait_ms)

    def _refuse_short(self, line: QuotaLine) -> None:
        """Refuse the requests that can't wait until the owner gives permits."""
        wait_ms = line.ready_ms - self._clock.now_ms()
        for item in line.take_all():
            if line.ready_ms < item.until_ms:
                line.add(item)
            else:
                error = make_owner_starting(line.account, wait_ms * self._jitter())
                self._end(item, error)

    def _refuse_all(self, line: QuotaLine) -> None:
        latest_ms = self.bounds.window_ms if self.bounds is not None else 0.0
        for item in line.take_all():
            self.exceeded += 1
            wait_ms = line.promise(self._clock.now_ms(), latest_ms=latest_ms)
            error = make_exceeded(line.account, wait_ms, wait_ms * self._jitter())
            self._end(item, error)

    def _jitter(self) -> float:
        return 1.0 + JITTER * self._rng.random()

    def _give_up(self, line: QuotaLine, item: PendingPermit) -> None:
        if item.ended:
            return
        self.unanswered += 1
        name = line.account.name
        owner = self._members.owner(name)
        now_ms = self._clock.now_ms()
        if now_ms >= self._log_due_ms:
            self._log_due_ms = now_ms + LOG_INTERVAL_MS
            log.info(
                "quota_unanswered", account=name, owner=owner, count=self.unanswered
            )
        retry_after_ms = UNANSWERED_RETRY_MS * self._jitter()
        self._end(item, make_unanswered(line.account, owner, retry_after_ms))

    def _receive_request(self, sender: str, message: QuotaRequest) -> None:
        self._members.learn(message.members)
        account = self.find_limited(message.account)
        if account is None or self.bounds is None:
            return
        if not self._members.owns(account.name):
            return  # the sender asks the owner that it knows by then
        decision = QuotaDecision(granted=False)
        if message.count:
            decision = self.broker.take(account, self.bounds)
        ahead = self.broker.hold(
            account, self.bounds, count=message.ahead, used=message.used
        )
        if not message.count and not ahead:
            return
        answer = QuotaAnswer(
            account=account.name,
            number=message.number,
            granted=decision.granted,
            wait_ms=round(decision.wait_ms),
            settling=decision.settling,
            ahead=ahead,
        )
        self._bus.send(sender, answer)

    def _receive_answer(self, sender: str, message: QuotaAnswer) -> None:
        held = self._held.get(message.account)
        if held is not None:
            held.add(message.number, message.ahead)
        line = self._lines.get(message.account)
        if line is None:
            return
        now_ms = self._clock.now_ms()
        asked_ms = line.record_answer(message.number, now_ms)
        if asked_ms is not None and line.waiting:
            decision = QuotaDecision(
                granted=message.granted,
                wait_ms=message.wait_ms,
                settling=message.settling,
            )
            self._settle(line, decision, asked_ms=asked_ms)
        while line.waiting and held is not None and held.use(now_ms):
            self._end(line.take(), now_ms)
        if line.waiting and not line.number:
            self._ask(line)

    def _receive_return(self, sender: str, message: QuotaReturn) -> None:
        account = self.find_limited(message.account)
        if account is None or self.bounds is None:
            return
        if self._members.owns(account.name):
            self.broker.put_back(account, self.bounds)
