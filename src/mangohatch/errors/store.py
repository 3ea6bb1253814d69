"""Errors of calls to the platform's object API."""

from typing import ClassVar

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = [
    "RevisionCompacted",
    "StoreBudgetExhausted",
    "StoreConflict",
    "StoreError",
    "StoreRateLimited",
    "StoreRejected",
    "StoreUnavailable",
    "StoreWriteUnknown",
]


class StoreError(MangohatchError):
    """A call to the object API failed."""

    code: ClassVar[str] = "store_failed"
    exit_code = ExitCode.UNREACHABLE


class StoreConflict(StoreError):
    """The object is not at the expected revision; nothing was written."""

    code = "store_conflict"
    exit_code = ExitCode.REFUSED


class StoreUnavailable(StoreError):
    """The store did not answer a read, or refused a call before it took effect."""

    code = "store_unavailable"


class StoreRateLimited(StoreUnavailable):
    """
    The store refused a call that exceeds its rate limit; nothing was written.

    :param detail: description of the refused call
    :param retry_after_ms: delay in milliseconds before the next call
    """

    code = "store_rate_limited"

    def __init__(self, detail: str, *, retry_after_ms: float) -> None:
        self.retry_after_ms = retry_after_ms
        super().__init__(detail)


class StoreBudgetExhausted(StoreRateLimited):
    """This host has used up its own budget of store calls; no call was made."""

    code = "store_budget_exhausted"


class StoreWriteUnknown(StoreError):
    """A write was sent, but no answer arrived; the write may have taken effect."""

    code = "store_write_unknown"


class RevisionCompacted(StoreError):
    """The store no longer keeps changes since the requested revision; list again."""

    code = "store_revision_compacted"


class StoreRejected(StoreError):
    """The store refused a call as malformed or too large; nothing was written."""

    code = "store_rejected"
