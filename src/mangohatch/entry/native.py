"""The native protocol: Mangohatch's own header fields."""

import json
import math

from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.core.call import Call
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    ERROR_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    UPSTREAM_LOAD_HEADER,
    UPSTREAM_STATE_HEADER,
    drop_hop_by_hop,
)
from mangohatch.entry.protocol import ErrorResponse, ProtocolAdapter
from mangohatch.entry.request import make_call, prepare_headers, read_request_id
from mangohatch.errors import Outcome, RequestError
from mangohatch.upstream.response import ResponseHead

__all__ = ["NativeProtocol"]

SERVICE_UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500
DRAINING = "draining"
MAX_LOAD_DIGITS = 6
RETRY_AFTER_MS = 1_000.0
MS_PER_SECOND = 1000.0
OUTCOMES = frozenset(Outcome)


class NativeProtocol(ProtocolAdapter):
    """Adapter for the header fields named in :mod:`mangohatch.entry.headers`."""

    def read_request_id(self, headers: HTTPHeaders) -> str:
        return read_request_id(headers)

    def make_call(
        self,
        *,
        line: RequestStartLine,
        headers: HTTPHeaders,
        request_id: str,
        caller: str,
        tables: Tables,
        now_ms: float,
    ) -> Call:
        return make_call(
            line=line,
            headers=headers,
            request_id=request_id,
            services=tables.services,
            now_ms=now_ms,
        )

    def prepare_headers(self, req: ActiveRequest) -> None:
        prepare_headers(req)

    def set_attempt_headers(
        self, req: ActiveRequest, upstream: UpstreamRow, remaining_ms: float
    ) -> None:
        req.headers[DEADLINE_HEADER] = str(int(remaining_ms))
        req.headers[ATTEMPT_HEADER] = str(req.call.attempt)

    def matches_request(self, head: ResponseHead, request_id: str) -> bool:
        return True

    def is_not_run(self, head: ResponseHead, *, kept: bool = False) -> bool:
        reported = head.headers.get(OUTCOME_HEADER)
        return head.line.code == SERVICE_UNAVAILABLE and reported == Outcome.NOT_RUN

    def check_response(self, head: ResponseHead) -> None:
        return None

    def read_statement(
        self, head: ResponseHead, upstream: UpstreamRow
    ) -> UpstreamStatement:
        load = head.headers.pop(UPSTREAM_LOAD_HEADER, None)
        in_flight = None
        if load is not None and load.isascii() and load.isdigit():
            in_flight = int(load[:MAX_LOAD_DIGITS])
        state = head.headers.pop(UPSTREAM_STATE_HEADER, None)
        return UpstreamStatement(
            in_flight=in_flight,
            leaving=state == DRAINING,
            accepted=not self.is_not_run(head),
        )

    def finalize_response(self, head: ResponseHead, request_id: str) -> Outcome:
        drop_hop_by_hop(head.headers)
        outcome = read_outcome(head)
        head.headers[OUTCOME_HEADER] = outcome
        head.headers[REQUEST_ID_HEADER] = request_id
        return outcome

    def make_error(self, error: RequestError, request_id: str) -> ErrorResponse:
        content = {
            "code": error.code,
            "outcome": error.outcome,
            "detail": error.detail,
            "request_id": request_id,
        }
        body = json.dumps(content).encode()
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
        return ErrorResponse(status=error.status, headers=headers, body=body)


def read_outcome(head: ResponseHead) -> Outcome:
    """
    Return the execution outcome of a request according to its response.

    :param head: head of the response
    :return: the outcome reported by the upstream; without one, done for a status
        below 500 and unknown from 500 on
    """
    reported = head.headers.get(OUTCOME_HEADER)
    if reported in OUTCOMES:
        return Outcome(reported)
    if head.line.code < FIRST_SERVER_ERROR:
        return Outcome.DONE
    return Outcome.UNKNOWN
