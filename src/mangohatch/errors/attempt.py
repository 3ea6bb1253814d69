"""Failures of one attempt to run a request on an upstream."""

from mangohatch.errors.request import Outcome, RequestError, UpstreamAborted

__all__ = [
    "AttemptMoved",
    "CallerGone",
    "ConnectionSilent",
    "ContinuationFailed",
    "InternalFailure",
    "ResponseLate",
    "ResponseUnframed",
    "UpstreamFailed",
]


class ContinuationFailed(RequestError):
    """The upstream has not got the missing part of a response that was cut."""

    code = "continuation_failed"
    status = 502
    default_outcome = Outcome.UNKNOWN


class ConnectionSilent(UpstreamAborted):
    """The connection gave no sign of life although the upstream may be well."""

    code = "connection_silent"


class ResponseLate(UpstreamAborted):
    """The response did not begin in time on a connection that was just opened."""

    code = "response_late"


class AttemptMoved(UpstreamAborted):
    """The upstream became slow, and another one should be done sooner."""

    code = "attempt_moved"


class ResponseUnframed(RequestError):
    """The response had no length, so that its end can't be told from a cut."""

    code = "response_unframed"
    status = 502
    default_outcome = Outcome.UNKNOWN


class CallerGone(RequestError):
    """The caller closed its connection before it had the whole response."""

    code = "caller_gone"
    status = 499
    default_outcome = Outcome.UNKNOWN


class UpstreamFailed(RequestError):
    """The upstream answered an idempotent request with a server error."""

    code = "upstream_failed"
    status = 502
    default_outcome = Outcome.UNKNOWN


class InternalFailure(RequestError):
    """The entry host failed in a way that nothing provides for."""

    code = "internal"
    default_outcome = Outcome.UNKNOWN
