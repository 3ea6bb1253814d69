"""Typed failures: every error has a code, and request errors have an outcome."""

from mangohatch.errors.admin import HostUnanswered
from mangohatch.errors.attempt import (
    CallerGone,
    ConnectionSilent,
    ResponseUnframed,
    UpstreamFailed,
)
from mangohatch.errors.base import ExitCode, MangohatchError
from mangohatch.errors.claim import (
    AnswerNotKept,
    ClaimKeyMismatch,
    ClaimUnavailable,
    OutcomeUnknown,
    RequestInProgress,
)
from mangohatch.errors.framing import (
    ExpectationFailed,
    HeaderTooLarge,
    MethodRefused,
    RequestTimeout,
    TargetTooLong,
    UnsupportedCoding,
    UnsupportedVersion,
)
from mangohatch.errors.language import SentenceError
from mangohatch.errors.order import (
    OrderConflict,
    OrderError,
    OrderInvalid,
    OrderPending,
    OrderStoreUnavailable,
    OrderUnsupported,
    OrderVotedDown,
    OrderVotesMissing,
)
from mangohatch.errors.peer import PeerProtocolError
from mangohatch.errors.request import (
    BadRequest,
    DeadlineExceeded,
    NoRoute,
    NoUpstream,
    Outcome,
    Overloaded,
    RequestError,
    RequestQuarantined,
    Stopping,
    UpstreamAborted,
    UpstreamRefused,
    UpstreamUnreachable,
)
from mangohatch.errors.settings import SettingsError
from mangohatch.errors.store import (
    RevisionCompacted,
    StoreBudgetExhausted,
    StoreConflict,
    StoreError,
    StoreRateLimited,
    StoreUnavailable,
    StoreWriteUnknown,
)

__all__ = [
    "AnswerNotKept",
    "BadRequest",
    "CallerGone",
    "ClaimKeyMismatch",
    "ClaimUnavailable",
    "ConnectionSilent",
    "DeadlineExceeded",
    "ExitCode",
    "ExpectationFailed",
    "HeaderTooLarge",
    "HostUnanswered",
    "MangohatchError",
    "MethodRefused",
    "NoRoute",
    "NoUpstream",
    "OrderConflict",
    "OrderError",
    "OrderInvalid",
    "OrderPending",
    "OrderStoreUnavailable",
    "OrderUnsupported",
    "OrderVotedDown",
    "OrderVotesMissing",
    "Outcome",
    "OutcomeUnknown",
    "Overloaded",
    "PeerProtocolError",
    "RequestError",
    "RequestInProgress",
    "RequestQuarantined",
    "RequestTimeout",
    "ResponseUnframed",
    "RevisionCompacted",
    "SentenceError",
    "SettingsError",
    "Stopping",
    "StoreBudgetExhausted",
    "StoreConflict",
    "StoreError",
    "StoreRateLimited",
    "StoreUnavailable",
    "StoreWriteUnknown",
    "TargetTooLong",
    "UnsupportedCoding",
    "UnsupportedVersion",
    "UpstreamAborted",
    "UpstreamFailed",
    "UpstreamRefused",
    "UpstreamUnreachable",
]
