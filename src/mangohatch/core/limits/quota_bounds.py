"""How much of an account's quota its owner gives out, and what stays in reserve."""

from dataclasses import dataclass

from mangohatch.core.accounts import Account

__all__ = ["QuotaBounds"]

MS_PER_S = 1000.0
# The rate for this time stays in reserve for the times in which two hosts consider
# themselves the owner of an account, and for the life of a permit.
OVERLAP_S = 0.45
# Parts of the rest of the reserve. Buckets may begin four times in a window.
CAPACITY_SHARE = 1 / 2
START_SHARE = 1 / 8


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaBounds:
    """
    What may run for an account in any window of ``window_ms``.

    It is (rate x window + burst) x (1 + ``over``) + ``slack`` requests, over all hosts.
    A token bucket with the rate and burst of the account gives out rate x window +
    burst; the difference is the reserve.
    """

    window_ms: float
    over: float
    slack: float

    def allowed(self, account: Account) -> float:
        """
        Return how many requests of an account may run in a window.

        :param account: an account with a limit
        :return: number of requests
        """
        base = account.per_s * self.window_ms / MS_PER_S + account.burst
        return base * (1.0 + self.over) + self.slack

    def capacity(self, account: Account) -> float:
        """
        Return the most tokens that a bucket keeps.

        :param account: an account with a limit
        :return: the burst and a part of the reserve, at least one token
        """
        return max(1.0, account.burst + CAPACITY_SHARE * self._rest(account))

    def start(self, account: Account) -> float:
        """
        Return the tokens of a new bucket.

        Another host may just have spent the burst, so they come from the reserve.

        :param account: an account with a limit
        :return: number of tokens
        """
        return START_SHARE * self._rest(account)

    def _rest(self, account: Account) -> float:
        base = account.per_s * self.window_ms / MS_PER_S + account.burst
        reserve = base * self.over + self.slack
        return max(0.0, reserve - OVERLAP_S * account.per_s)
