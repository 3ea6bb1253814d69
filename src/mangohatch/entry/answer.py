"""Answers that an entry host gives itself."""

import json
import math
from http import HTTPStatus

from tornado.httputil import HTTPHeaders, ResponseStartLine

from mangohatch.entry.connection import CallerConnection
from mangohatch.entry.headers import ERROR_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER
from mangohatch.errors import RequestError

__all__ = ["write_error"]

RETRY_AFTER_MS = 1_000.0
FIRST_SERVER_ERROR = 500
MS_PER_SECOND = 1000.0
REASONS = {status.value: status.phrase for status in HTTPStatus}


def write_error(conn: CallerConnection, error: RequestError, request_id: str) -> None:
    """
    Write the whole answer to a request that failed.

    :param conn: the caller's connection, to which nothing was written yet
    :param error: the failure
    :param request_id: id of the request
    """
    body = json.dumps(
        {
            "code": error.code,
            "outcome": error.outcome,
            "detail": error.detail,
            "request_id": request_id,
        }
    ).encode()
    headers = HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            OUTCOME_HEADER: error.outcome,
            ERROR_HEADER: error.code,
            REQUEST_ID_HEADER: request_id,
        }
    )
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None and error.status >= FIRST_SERVER_ERROR:
        retry_after_ms = RETRY_AFTER_MS
    if retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(retry_after_ms / MS_PER_SECOND))
    reason = REASONS.get(error.status, "Error")
    line = ResponseStartLine("HTTP/1.1", error.status, reason)
    if conn.is_head_request:
        conn.write_headers(line, headers)
    else:
        conn.write_headers(line, headers, body)
    conn.finish()
