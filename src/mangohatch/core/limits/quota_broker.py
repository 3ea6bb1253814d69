"""The tokens of the client accounts whose quota this host owns."""

import math
from collections import deque
from dataclasses import dataclass, field

from mangohatch.clock import Clock
from mangohatch.core.accounts import Account
from mangohatch.core.limits.held_quota import HOLD_MS
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.limits.quota_members import START_MS, QuotaMembers

__all__ = ["QuotaBroker", "QuotaDecision"]

SETTLING_MS = 4_000.0  # requests that came while there was no owner are caught up
PAUSE_MS = 400.0  # ticks are 50 ms apart; another host may have taken over meanwhile
# Of the capacity: hosts may hold this share, while tokens for others remain.
HELD_SHARE = 0.75
FREE_SHARE = 0.125
MIN_WAIT_MS = 1.0  # above rounding errors
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaDecision:
    """
    Whether a request is permitted, otherwise when there will be a token for it.

    ``ahead`` is the number of permits that the host may hold for the next requests.
    """

    granted: bool
    wait_ms: float = 0.0
    settling: bool = False
    ahead: int = 0


@dataclass(slots=True, kw_only=True)
class QuotaBucket:
    """
    Tokens of one account.

    ``promised_ms`` is the time until which the tokens to come have been named to
    requests that were refused, so that these do not all return for the same one.
    ``held_ms`` lists when the permits end that hosts hold.
    """

    tokens: float
    filled_ms: float
    began_ms: float
    promised_ms: float = -math.inf
    held_ms: deque[float] = field(default_factory=deque)


class QuotaBroker:
    """
    Keeps a token bucket for each account with a limit that this host owns.

    A new bucket is nearly empty, and so are all buckets after a pause of this process
    or after peers have declared it dead: another host may have given out tokens
    meanwhile. A bucket that was taken over after a loss of members gives out only what
    it started with until the members are stable, because a former owner that is
    partitioned gives out tokens until it notices the loss as well.

    ``granted`` counts the permits of each account.

    :param clock: source of time
    :param members: the share of the members that this host sees
    """

    def __init__(self, *, clock: Clock, members: QuotaMembers) -> None:
        self._clock = clock
        self._members = members
        self._buckets: dict[str, QuotaBucket] = {}
        self._ran_ms = clock.now_ms()
        self._incarnation = 0
        self.granted: dict[str, int] = {}

    def take(self, account: Account, bounds: QuotaBounds) -> QuotaDecision:
        """
        Take a token for a request.

        :param account: an account with a limit that this host owns
        :param bounds: what all hosts together may run
        :return: the decision
        """
        if not self._members.settled():
            wait_ms = self._members.settle_wait_ms() or START_MS  # or no peer is heard
            return QuotaDecision(granted=False, wait_ms=wait_ms, settling=True)
        bucket = self._fill(account, bounds)
        now_ms = self._clock.now_ms()
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            self.granted[account.name] = self.granted.get(account.name, 0) + 1
            return QuotaDecision(granted=True)
        per_ms = account.per_s * self._members.share() / MS_PER_S
        next_ms = now_ms + self._members.unstable_ms() + (1.0 - bucket.tokens) / per_ms
        # Each request that is refused is told the time of a token of its own, within
        # the time of a window, after which most callers have given up.
        latest_ms = now_ms + bounds.window_ms
        due_ms = max(next_ms, min(bucket.promised_ms + 1.0 / per_ms, latest_ms))
        bucket.promised_ms = due_ms
        return QuotaDecision(
            granted=False,
            wait_ms=due_ms - now_ms + MIN_WAIT_MS,
            settling=now_ms - bucket.began_ms < SETTLING_MS,
        )

    def hold(
        self, account: Account, bounds: QuotaBounds, *, count: int, used: int
    ) -> int:
        """
        Take tokens for the next requests at a host, while there are plenty.

        :param account: an account with a limit that this host owns
        :param bounds: what all hosts together may run
        :param count: number of permits that the host asks for
        :param used: number of held permits that it has used
        :return: number of permits that it may hold
        """
        if not self._members.settled():
            return 0
        bucket = self._fill(account, bounds)
        for _ in range(min(used, len(bucket.held_ms))):
            bucket.held_ms.popleft()
        capacity = bounds.capacity(account) * self._members.share()
        free = int(bucket.tokens - FREE_SHARE * capacity)
        room = int(HELD_SHARE * capacity) - len(bucket.held_ms)
        count = max(0, min(count, free, room))
        bucket.tokens -= count
        bucket.held_ms.extend([self._clock.now_ms() + HOLD_MS] * count)
        self.granted[account.name] = self.granted.get(account.name, 0) + count
        return count

    def put_back(self, account: Account, bounds: QuotaBounds) -> None:
        """
        Take back the permit of a request that has not run.

        :param account: an account with a limit that this host owns
        :param bounds: what all hosts together may run
        """
        bucket = self._fill(account, bounds)
        bucket.tokens += 1.0

    def level(self, account: Account) -> float:
        """
        Return how many tokens an account has left.

        :param account: an account that this host owns
        :return: tokens at the last request
        """
        bucket = self._buckets.get(account.name)
        return bucket.tokens if bucket is not None else 0.0

    def tick(self) -> None:
        """Forget the buckets of accounts that this host does not own any more."""
        self._check_pause()
        for name in [name for name in self._buckets if not self._members.owns(name)]:
            del self._buckets[name]

    def _check_pause(self) -> None:
        now_ms = self._clock.now_ms()
        incarnation = self._members.incarnation
        if now_ms - self._ran_ms > PAUSE_MS or incarnation != self._incarnation:
            self._buckets.clear()
        self._ran_ms = now_ms
        self._incarnation = incarnation

    def _fill(self, account: Account, bounds: QuotaBounds) -> QuotaBucket:
        self._check_pause()
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = QuotaBucket(
                tokens=bounds.start(account), filled_ms=now_ms, began_ms=now_ms
            )
        share = self._members.share()
        took_over = now_ms - bucket.began_ms < SETTLING_MS
        if not (took_over and self._members.unstable_ms()):
            earned = (now_ms - bucket.filled_ms) / MS_PER_S * account.per_s * share
            bucket.tokens += earned
        bucket.filled_ms = now_ms
        while bucket.held_ms and bucket.held_ms[0] < now_ms:
            bucket.held_ms.popleft()
        capacity = max(1.0, share * bounds.capacity(account))
        bucket.tokens = min(bucket.tokens, max(0.0, capacity - len(bucket.held_ms)))
        return bucket
