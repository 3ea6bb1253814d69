"""Which failed attempts may be repeated, and what they say of the upstream."""

from mangohatch.core.call import Call, Result
from mangohatch.errors import (
    AttemptMoved,
    CallerGone,
    ConnectionSilent,
    DeadlineExceeded,
    RequestError,
    ResponseLate,
    ResponseUnframed,
    UpstreamAborted,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
)
from mangohatch.upstream.connection import ResponseHead

__all__ = [
    "is_retry_safe",
    "is_server_failure",
    "result_of",
    "result_of_status",
]

FIRST_SERVER_ERROR = 500
# Server errors that another upstream may not have.
RETRIED_CODES = frozenset({500, 502, 503, 504})

NOT_RUN_ERRORS = (UpstreamUnreachable, UpstreamRefused)
MAY_HAVE_RUN_ERRORS = (UpstreamAborted, UpstreamFailed)

RESULT_BY_ERROR: tuple[tuple[type[RequestError], Result], ...] = (
    (AttemptMoved, Result.CANCELLED),
    (ConnectionSilent, Result.SILENT),
    (ResponseLate, Result.TIMEOUT),
    (CallerGone, Result.CANCELLED),
    (DeadlineExceeded, Result.TIMEOUT),
    (UpstreamRefused, Result.REFUSED),
    (UpstreamUnreachable, Result.UNREACHABLE),
    (UpstreamFailed, Result.ERROR),
    (ResponseUnframed, Result.ERROR),
    (UpstreamAborted, Result.ABORTED),
)


def is_retry_safe(call: Call, error: RequestError) -> bool:
    """
    Tell whether another attempt can't run a non-idempotent request twice.

    :param call: the call
    :param error: how the last attempt failed
    :return: whether another attempt is safe
    """
    if isinstance(error, NOT_RUN_ERRORS):
        return True
    return call.idempotent and isinstance(error, MAY_HAVE_RUN_ERRORS)


def is_server_failure(head: ResponseHead) -> bool:
    """
    Tell whether another upstream may give a better response.

    :param head: head of a response
    :return: whether the status is a server error worth another attempt
    """
    return head.line.code in RETRIED_CODES


def result_of_status(code: int) -> Result:
    """
    Tell what a status says of the upstream.

    :param code: status code of a response
    :return: error from 500 on, else OK
    """
    return Result.ERROR if code >= FIRST_SERVER_ERROR else Result.OK


def result_of(error: RequestError) -> Result:
    """
    Tell what a failed attempt says of the upstream.

    :param error: how the attempt failed
    :return: the result to report; cancelled when it says nothing
    """
    for kind, result in RESULT_BY_ERROR:
        if isinstance(error, kind):
            return result
    return Result.CANCELLED
