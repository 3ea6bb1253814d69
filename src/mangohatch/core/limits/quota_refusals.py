"""Errors for requests that get no permit of their account."""

from mangohatch.core.accounts import Account
from mangohatch.errors import QuotaExceeded, QuotaUnanswered

__all__ = ["make_exceeded", "make_owner_starting", "make_unanswered"]


def make_exceeded(
    account: Account, wait_ms: float, retry_after_ms: float
) -> QuotaExceeded:
    """
    Make the error of a request above the quota.

    :param account: the account
    :param wait_ms: time until there is a token for the request, in milliseconds
    :param retry_after_ms: time after which the caller may return, in milliseconds
    :return: the error
    """
    detail = (
        f"account {account.name} is above its quota of {account.per_s:g} requests a"
        f" second and {account.burst:g} at once; the next token comes in {wait_ms:.0f}"
        " ms"
    )
    return QuotaExceeded(detail, retry_after_ms=retry_after_ms)


def make_owner_starting(account: Account, retry_after_ms: float) -> QuotaUnanswered:
    """
    Make the error of a request that can't wait for an owner that has just started.

    What the account has used before is not known, so it need not be above its quota.

    :param account: the account
    :param retry_after_ms: time after which the caller may return, in milliseconds
    :return: the error
    """
    detail = f"the owner of the quota of account {account.name} has just started"
    return QuotaUnanswered(detail, retry_after_ms=retry_after_ms)


def make_unanswered(
    account: Account, owner: str, retry_after_ms: float
) -> QuotaUnanswered:
    """
    Make the error of a request that got no answer in time.

    :param account: the account
    :param owner: the host that was asked, empty if there is none
    :param retry_after_ms: time after which the caller may return, in milliseconds
    :return: the error
    """
    detail = (
        f"the owner {owner!r} of the quota of account {account.name} did not answer"
    )
    return QuotaUnanswered(detail, retry_after_ms=retry_after_ms)
