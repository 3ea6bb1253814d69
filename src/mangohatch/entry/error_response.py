"""Answers that an entry host gives itself."""

from http import HTTPStatus

from tornado.httputil import ResponseStartLine

from mangohatch.entry.connection import CallerConnection
from mangohatch.entry.protocol import ErrorResponse

__all__ = ["write_error"]

REASONS = {status.value: status.phrase for status in HTTPStatus}


def write_error(conn: CallerConnection, answer: ErrorResponse) -> None:
    """
    Write the whole answer to a request that failed.

    :param conn: the caller's connection, to which nothing was written yet
    :param answer: the answer
    """
    reason = REASONS.get(answer.status, "Error")
    line = ResponseStartLine("HTTP/1.1", answer.status, reason)
    if conn.is_head_request:
        conn.write_headers(line, answer.headers)
    else:
        conn.write_headers(line, answer.headers, answer.body)
    conn.finish()
