"""Permits for requests of client accounts, from one host per account."""

import random

import structlog

from mangohatch.clock import Clock
from mangohatch.core.accounts import Account, AccountTable
from mangohatch.core.limits.held_quota import HeldQuota
from mangohatch.core.limits.pending_permit import (
    DeliverPermit,
    PendingPermit,
)
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.limits.quota_broker import QuotaBroker, QuotaDecision
from mangohatch.core.limits.quota_members import QuotaMembers
from mangohatch.core.timers import Timers
from mangohatch.errors import QuotaExceeded, QuotaUnanswered
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.quotas import QuotaAnswer, QuotaRequest, QuotaReturn

__all__ = ["QuotaPermits"]

REPEAT_FACTOR = 2.0
MAX_REPEAT_MS = 200.0
JITTER = 0.2  # callers that were refused at once do not return at once
UNANSWERED_RETRY_MS = 500.0  # about half the time until the loss of an owner is noticed
LOG_INTERVAL_MS = 1_000.0

log = structlog.get_logger()


class QuotaPermits:
    """
    Asks the owners of accounts for permits, and answers as the owner.

    A request asks the owner once. The message is repeated if no answer comes, to the
    owner at that time, so that a request whose owner was lost asks the next one as soon
    as this host has noticed the loss. An answer to a request that is not pending any
    more, as after a pause of this host, permits nothing.

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
        self._pending: dict[int, PendingPermit] = {}
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
        item = PendingPermit(
            account=account, until_ms=now_ms + wait_ms, deliver=deliver
        )
        if self._take_held(account, now_ms):
            deliver(now_ms)
        else:
            self._ask(item)
        return item

    def cancel(self, item: PendingPermit) -> None:
        """
        Cancel a request for a permit.

        :param item: result of :meth:`request`
        """
        self._pending.pop(item.number, None)
        item.number = 0

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
        if owner:
            self._number += 1
            self._send(owner, account, number=self._number, count=0)
        return True

    def _send(self, owner: str, account: Account, *, number: int, count: int) -> None:
        held = self._held.get(account.name)
        now_ms = self._clock.now_ms()
        message = QuotaRequest(
            account=account.name,
            number=number,
            members=self._members.expected,
            count=count,
            ahead=held.ask(number, now_ms) if held is not None else 0,
            used=held.report_used() if held is not None else 0,
        )
        self._bus.send(owner, message)

    def _ask(self, item: PendingPermit) -> None:
        now_ms = self._clock.now_ms()
        if item.number and now_ms >= item.until_ms:
            self._give_up(item)
            return
        self._pending.pop(item.number, None)
        self._number += 1
        item.number = self._number
        item.asked_ms = now_ms
        self._pending[item.number] = item
        owner = self._members.owner(item.account.name)
        if owner == self._bus.host_id and self.bounds is not None:
            self._settle(item, self.broker.take(item.account, self.bounds))
            return
        if owner:
            self._send(owner, item.account, number=item.number, count=1)
        self._ask_later(item, item.repeat_ms)
        item.repeat_ms = min(REPEAT_FACTOR * item.repeat_ms, MAX_REPEAT_MS)

    def _ask_later(self, item: PendingPermit, delay_ms: float) -> None:
        rest_ms = max(0.0, item.until_ms - self._clock.now_ms())
        number = item.number

        def ask_again() -> None:
            if item.number == number:
                self._ask(item)

        self._timers.call_later(min(delay_ms, rest_ms), ask_again)

    def _settle(self, item: PendingPermit, decision: QuotaDecision) -> None:
        if decision.granted:
            self.cancel(item)
            item.deliver(item.asked_ms)
            return
        rest_ms = item.until_ms - self._clock.now_ms()
        if decision.settling and decision.wait_ms < rest_ms:
            self._ask_later(item, decision.wait_ms)
            return
        self.cancel(item)
        account = item.account
        jitter = 1.0 + JITTER * self._rng.random()
        retry_after_ms = decision.wait_ms * jitter
        if decision.settling:
            # What the account has used before is not known, so it need not be above.
            detail = (
                f"the owner of the quota of account {account.name} has just started"
            )
            item.deliver(QuotaUnanswered(detail, retry_after_ms=retry_after_ms))
            return
        self.exceeded += 1
        detail = (
            f"account {account.name} is above its quota of {account.per_s:g} requests"
            f" a second and {account.burst:g} at once; the next token comes in"
            f" {decision.wait_ms:.0f} ms"
        )
        item.deliver(QuotaExceeded(detail, retry_after_ms=retry_after_ms))

    def _give_up(self, item: PendingPermit) -> None:
        self.cancel(item)
        self.unanswered += 1
        name = item.account.name
        owner = self._members.owner(name)
        now_ms = self._clock.now_ms()
        if now_ms >= self._log_due_ms:
            self._log_due_ms = now_ms + LOG_INTERVAL_MS
            log.info(
                "quota_unanswered", account=name, owner=owner, count=self.unanswered
            )
        jitter = 1.0 + JITTER * self._rng.random()
        item.deliver(
            QuotaUnanswered(
                f"the owner {owner!r} of the quota of account {name} did not answer",
                retry_after_ms=UNANSWERED_RETRY_MS * jitter,
            )
        )

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
        item = self._pending.get(message.number)
        if item is None or item.account.name != message.account:
            return
        if self._clock.now_ms() > item.until_ms:
            self._give_up(item)
            return
        decision = QuotaDecision(
            granted=message.granted,
            wait_ms=message.wait_ms,
            settling=message.settling,
        )
        self._settle(item, decision)

    def _receive_return(self, sender: str, message: QuotaReturn) -> None:
        account = self.find_limited(message.account)
        if account is None or self.bounds is None:
            return
        if self._members.owns(account.name):
            self.broker.put_back(account, self.bounds)
