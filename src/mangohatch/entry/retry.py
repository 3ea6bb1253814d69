"""Rules for retries and the result reported for each failed attempt."""

from mangohatch.core.call import Result
from mangohatch.errors import (
    AttemptMoved,
    AttemptSuperseded,
    CallerGone,
    ConnectionSilent,
    DeadlineExceeded,
    HostCutOff,
    RequestError,
    ResponseLate,
    ResponseUnframed,
    UpstreamAborted,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
    UpstreamWithdrawn,
)
from mangohatch.upstream.response import ResponseHead

__all__ = [
    "is_not_run",
    "is_retried",
    "is_server_failure",
    "result_of",
    "result_of_status",
]

FIRST_SERVER_ERROR = 500
# Status codes of server errors that a retry at another upstream might avoid.
RETRIED_CODES = frozenset({500, 502, 503, 504})

NOT_RUN_ERRORS = (UpstreamUnreachable, UpstreamRefused)
MAY_HAVE_RUN_ERRORS = (UpstreamAborted, UpstreamFailed)

RESULT_BY_ERROR: tuple[tuple[type[RequestError], Result], ...] = (
    (AttemptMoved, Result.CANCELLED),
    (AttemptSuperseded, Result.SUPERSEDED),
    (ConnectionSilent, Result.SILENT),
    (ResponseLate, Result.TIMEOUT),
    (CallerGone, Result.CANCELLED),
    (DeadlineExceeded, Result.TIMEOUT),
    (UpstreamRefused, Result.REFUSED),
    (HostCutOff, Result.CANCELLED),
    (UpstreamUnreachable, Result.UNREACHABLE),
    (UpstreamFailed, Result.ERROR),
    (ResponseUnframed, Result.ERROR),
    (UpstreamAborted, Result.ABORTED),
)


def is_not_run(error: RequestError) -> bool:
    """
    Return whether an attempt has certainly not run.

    :param error: failure of the attempt
    :return: whether no byte was sent, or the upstream stated that it did not run it
    """
    return isinstance(error, (*NOT_RUN_ERRORS, UpstreamWithdrawn))


def is_retried(error: RequestError) -> bool:
    """
    Return whether another upstream may do better after a failed attempt.

    :param error: failure of the attempt
    :return: whether the failure lies with the upstream or the way to it
    """
    return isinstance(error, (*NOT_RUN_ERRORS, *MAY_HAVE_RUN_ERRORS))


def is_server_failure(head: ResponseHead) -> bool:
    """
    Return whether another upstream may respond successfully.

    :param head: head of a response
    :return: whether the status is a server error that is retried
    """
    return head.line.code in RETRIED_CODES


def result_of_status(code: int) -> Result:
    """
    Return the result of an attempt by the status of its response.

    :param code: status code of the response
    :return: error from 500 on, otherwise OK
    """
    return Result.ERROR if code >= FIRST_SERVER_ERROR else Result.OK


def result_of(error: RequestError) -> Result:
    """
    Return the result to report for a failed attempt.

    :param error: failure of the attempt
    :return: the result; cancelled when the failure is no evidence about the upstream
    """
    for kind, result in RESULT_BY_ERROR:
        if isinstance(error, kind):
            return result
    return Result.CANCELLED
