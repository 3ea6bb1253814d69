"""Errors of one attempt to run a request on an upstream."""

from mangohatch.errors.request import Outcome, RequestError, UpstreamAborted

__all__ = [
    "AttemptMoved",
    "AttemptSuperseded",
    "CallerGone",
    "ConnectionSilent",
    "ContinuationFailed",
    "InternalFailure",
    "ResponseLate",
    "ResponseUnframed",
    "UpstreamFailed",
]


class ContinuationFailed(RequestError):
    """The upstream could not supply the missing part of a truncated response."""

    code = "continuation_failed"
    status = 502
    default_outcome = Outcome.UNKNOWN


class ConnectionSilent(UpstreamAborted):
    """No data arrived on the connection in time; the upstream may still be healthy."""

    code = "connection_silent"


class ResponseLate(UpstreamAborted):
    """The response did not begin in time on a new connection, or it stalled."""

    code = "response_late"


class AttemptMoved(UpstreamAborted):
    """The upstream slowed down, and another one is expected to finish sooner."""

    code = "attempt_moved"


class AttemptSuperseded(UpstreamAborted):
    """The other one of two attempts that ran at once received a response first."""

    code = "attempt_superseded"


class ResponseUnframed(RequestError):
    """The response had no length, so its end cannot be told from a truncation."""

    code = "response_unframed"
    status = 502
    default_outcome = Outcome.UNKNOWN


class CallerGone(RequestError):
    """The caller closed its connection before it received the whole response."""

    code = "caller_gone"
    status = 499
    default_outcome = Outcome.UNKNOWN


class UpstreamFailed(RequestError):
    """The upstream answered with an error that is not passed on to the caller."""

    code = "upstream_failed"
    status = 502
    default_outcome = Outcome.UNKNOWN


class InternalFailure(RequestError):
    """The entry host failed with an error that it does not handle."""

    code = "internal"
    default_outcome = Outcome.UNKNOWN
