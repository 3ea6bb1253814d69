"""Errors of keyed requests, each with its outcome and HTTP status."""

from mangohatch.errors.request import Outcome, RequestError

__all__ = [
    "AnswerNotKept",
    "ClaimKeyMismatch",
    "ClaimUnavailable",
    "OutcomeUnknown",
    "RequestInProgress",
]


class RequestInProgress(RequestError):
    """
    An earlier request with the same key has not ended yet.

    This copy was not sent, but the earlier one may be running, so the outcome of the
    keyed request is unknown.
    """

    code = "request_in_progress"
    status = 409
    default_outcome = Outcome.UNKNOWN


class OutcomeUnknown(RequestError):
    """The first attempt may or may not have run; no other attempt is made."""

    code = "outcome_unknown"
    status = 502
    default_outcome = Outcome.UNKNOWN


class ClaimUnavailable(RequestError):
    """The key could not be claimed, so the request was not sent."""

    code = "claim_unavailable"
    status = 503


class ClaimKeyMismatch(RequestError):
    """The claim object of this key records another key; the request was not sent."""

    code = "claim_key_mismatch"
    status = 409


class AnswerNotKept(RequestError):
    """The keyed request ran before, and its answer was too large to be stored."""

    code = "answer_not_kept"
    status = 409
    default_outcome = Outcome.DONE
