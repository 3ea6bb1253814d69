"""Reads and writes the platform's header fields and response statuses."""

import math
import re
from dataclasses import replace
from functools import lru_cache

import structlog
from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.core.call import Call
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.headers import drop_hop_by_hop
from mangohatch.entry.protocol import ErrorResponse, ProtocolAdapter
from mangohatch.entry.request import make_fingerprint, prepare_framing
from mangohatch.errors import (
    BadRequest,
    DeadlineExceeded,
    NoConfiguration,
    NoRoute,
    Outcome,
    RequestError,
    UpstreamFailed,
)
from mangohatch.upstream.connection import ResponseHead

__all__ = ["PlatformProtocol", "read_load", "read_probe", "read_statement"]

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
EXPECTED_INSTANCE = "Expected-Instance"
SIGNATURE = "Upstream-Signature"
NOT_EXECUTED = "Not-Executed"
LOAD = "Upstream-Load"
LIMIT = "Server-Limit"
INSTANCE = "Upstream-Instance"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"

# Fields whose names begin so say something of the upstream itself.
SIGN_PREFIXES = ("Upstream-", "Server-")
KNOWN_FIELDS = frozenset({SIGNATURE, LOAD, LIMIT, INSTANCE, LEAVING})

OK = 200
MULTIPLE_CHOICES = 300
MISDIRECTED = 421
SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504

DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]+)?")
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
FIRST_SERVER_ERROR = 500
MAX_LOGGED_CHARACTERS = 40
MAX_LOGGED_SIGNS = 1_000
LEAVES = "1"
MIN_LOAD_FIELDS = 3
PERCENT = 100.0
MS_PER_SECOND = 1000.0
# Above the size of nearly all responses. Each caller connection buffers at most one.
MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
DEFAULT_RETRY_AFTER_MS = 200.0  # if there is no estimate of when a slot becomes free

log = structlog.get_logger()


class PlatformProtocol(ProtocolAdapter):
    """
    Protocol adapter for callers and upstreams of the platform.

    :param rng: source of random numbers, chooses among the targets of a route
    """

    allows_unframed = True
    bounds_transfer = True
    max_buffered_bytes = MAX_BUFFERED_RESPONSE_BYTES

    def __init__(self, *, rng) -> None:
        self._rng = rng

    def read_request_id(self, headers: HTTPHeaders) -> str:
        return headers.get(REQUEST_ID, "")

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
        if not tables.routes.revision:
            raise NoConfiguration("this host has not learnt the routes yet")
        host = headers.get("Host", "").partition(":")[0]
        path = line.path.partition("?")[0]
        route = tables.routes.find(host, path)
        if route is None:
            raise NoRoute(f"no route of host {host!r} begins the path")
        budget_ms = min(read_deadline_ms(headers, route.timeout_ms), route.timeout_ms)
        return Call(
            request_id=request_id,
            service=route.choose(self._rng),
            arrived_ms=now_ms,
            deadline_ms=now_ms + budget_ms,
            idempotent=route.idempotent,
            customer=caller,
            route=route.name,
            priority=route.priority,
            max_attempts=route.max_attempts,
            objective_ms=now_ms + route.objective_ms,
            response_bytes=tables.response_bytes.get(route.name, 0.0),
        )

    def prepare_headers(self, req: ActiveRequest) -> None:
        prepare_framing(req)
        # A request that crashes upstreams is sent again under another id. Routes may be
        # renamed meanwhile.
        call = req.call
        path, _, query = req.line.path.partition("?")
        identity = (req.headers.get("Host", ""), req.line.method, path)
        call.path_fingerprint = make_fingerprint(req, identity)
        call.caller_fingerprint = make_fingerprint(req, (*identity, call.customer))
        call.fingerprint = make_fingerprint(req, (*identity, query, call.customer))

    def set_attempt_headers(
        self, req: ActiveRequest, upstream: UpstreamRow, remaining_ms: float
    ) -> None:
        req.headers[DEADLINE] = str(int(remaining_ms))
        req.headers[EXPECTED_INSTANCE] = upstream.name

    def matches_request(self, head: ResponseHead, request_id: str) -> bool:
        return head.headers.get(REQUEST_ID, request_id) == request_id

    def is_not_run(self, head: ResponseHead) -> bool:
        return is_not_run(head)

    def check_response(self, head: ResponseHead) -> None:
        if not OK <= head.line.code < MULTIPLE_CHOICES:
            return
        if SIGNATURE not in head.headers or REQUEST_ID not in head.headers:
            raise UpstreamFailed("the response lacks the upstream's signature")
        if "Content-Encoding" in head.headers:
            raise UpstreamFailed("the body is encoded, which nobody asked for")

    def read_statement(
        self, head: ResponseHead, upstream: UpstreamRow
    ) -> UpstreamStatement:
        return read_statement(head, upstream.name)

    def finalize_response(self, head: ResponseHead, request_id: str) -> Outcome:
        drop_hop_by_hop(head.headers)
        return Outcome.DONE

    def make_error(self, error: RequestError, request_id: str) -> ErrorResponse:
        body = f"{error.code}: {error.detail}\n".encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "text/plain",
                "Content-Length": str(len(body)),
                REQUEST_ID: request_id,
            }
        )
        status = choose_status(error)
        if status == SERVICE_UNAVAILABLE:
            retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
            headers[RETRY_AFTER] = f"{retry_after_ms / MS_PER_SECOND:.3f}"
        return ErrorResponse(status=status, headers=headers, body=body)


def choose_status(error: RequestError) -> int:
    """
    Choose the response status that matches the outcome of a failed request.

    :param error: the failure, with its final outcome
    :return: the error's own status for a bad request or an unknown route that has not
        run; 503 for any other request that has not run and will not; 504 after the
        deadline, else 502, for a request that may have run
    """
    if isinstance(error, (BadRequest, NoRoute)) and error.outcome is Outcome.NOT_RUN:
        return error.status
    if error.outcome is Outcome.NOT_RUN:
        return SERVICE_UNAVAILABLE
    if isinstance(error, DeadlineExceeded):
        return GATEWAY_TIMEOUT
    return BAD_GATEWAY


def read_deadline_ms(headers: HTTPHeaders, default_ms: float) -> float:
    """
    Read the time that the caller allows for its request.

    :param headers: header fields of the request
    :param default_ms: value in milliseconds if the field is missing
    :return: time in milliseconds
    :raises BadRequest: if the value is not a number
    """
    text = headers.get(DEADLINE)
    if text is None:
        return default_ms
    if DEADLINE_PATTERN.fullmatch(text) is None:
        raise BadRequest(f"{DEADLINE} is not a number of milliseconds")
    return float(text)


def is_not_run(head: ResponseHead) -> bool:
    """
    Return whether an upstream says that it did not run a request.

    :param head: head of its response
    :return: whether the request was not run
    """
    return head.line.code == MISDIRECTED or NOT_EXECUTED in head.headers


def read_statement(head: ResponseHead, upstream: str) -> UpstreamStatement:
    """
    Read what an upstream says of itself.

    :param head: head of a response to a request or to a health check
    :param upstream: name of the upstream, for the log
    :return: the decoded fields; those that can't be read count as missing
    """
    code = head.line.code
    for name in head.headers:
        if name.startswith(SIGN_PREFIXES) and name not in KNOWN_FIELDS:
            log_unknown_field(name[:MAX_LOGGED_CHARACTERS])
    if code == MISDIRECTED:
        # Another upstream now uses the address, so the fields are not of this one.
        return UpstreamStatement(load=read_load(head), replaced=True, accepted=False)
    return UpstreamStatement(
        load=read_load(head),
        limit_per_s=read_limit(head),
        leaving=read_leaving(head, upstream),
        pause_ms=read_pause_ms(head, upstream),
        accepted=not is_not_run(head) and code != SERVICE_UNAVAILABLE,
    )


def read_limit(head: ResponseHead) -> float | None:
    """
    Read the limit that an upstream names.

    :param head: head of the response
    :return: requests a second, infinite if an answer names none; None if the response
        is no evidence
    """
    text = head.headers.get(LIMIT)
    if text is not None:
        return parse_limit(text)
    # A request that was not run, or an error, need not come from where limits are
    # named.
    is_answer = head.line.code < FIRST_SERVER_ERROR and not is_not_run(head)
    return math.inf if is_answer else None


def read_leaving(head: ResponseHead, upstream: str) -> bool:
    """
    Read whether an upstream leaves.

    :param head: head of the response
    :param upstream: name of the upstream, for the log
    :return: whether it says so; a field that can't be read says nothing
    """
    text = head.headers.get(LEAVING)
    if text is None or text == LEAVES:
        return text is not None
    log_unreadable_sign(upstream, LEAVING, text[:MAX_LOGGED_CHARACTERS], LEAVES)
    return False


def read_pause_ms(head: ResponseHead, upstream: str) -> float | None:
    """
    Read for how long an upstream wants no request of this host.

    :param head: head of the response
    :param upstream: name of the upstream, for the log
    :return: milliseconds, more than 0; None if it wants no pause
    """
    text = head.headers.get(RETRY_AFTER)
    if text is None:
        return None
    if head.line.code != SERVICE_UNAVAILABLE:
        shown = text[:MAX_LOGGED_CHARACTERS]
        log_unreadable_sign(upstream, RETRY_AFTER, shown, "only in a response 503")
        return None
    pause_ms = float(text) * MS_PER_SECOND if SECONDS.fullmatch(text) else 0.0
    if pause_ms > 0.0:
        return pause_ms
    shown = text[:MAX_LOGGED_CHARACTERS]
    log_unreadable_sign(upstream, RETRY_AFTER, shown, "one number of seconds above 0")
    return None


@lru_cache(maxsize=MAX_LOGGED_SIGNS)
def log_unreadable_sign(upstream: str, field: str, value: str, expected: str) -> None:
    """
    Log a field of a response that can't be read, once for each upstream and value.

    :param upstream: name of the upstream
    :param field: name of the header field
    :param value: its value
    :param expected: what was expected
    """
    log.warning(
        "sign_unreadable",
        upstream=upstream,
        field=field,
        value=value,
        expected=expected,
    )


@lru_cache(maxsize=MAX_LOGGED_SIGNS)
def log_unknown_field(name: str) -> None:
    """
    Log a field by which an upstream says something unknown of itself, once by name.

    :param name: name of the header field
    """
    log.warning("field_unknown", field=name, treated_as="passed on to the caller")


def parse_limit(text: str) -> float | None:
    """
    Parse the limit that an upstream names.

    :param text: value of the header field
    :return: requests a second; None if it is not a number of at least 0
    """
    try:
        per_s = float(text)
    except ValueError:
        per_s = math.nan
    if 0.0 <= per_s < math.inf:
        return per_s
    log.warning("limit_unreadable", value=text[:MAX_LOGGED_CHARACTERS])
    return None


def read_load(head: ResponseHead) -> UpstreamLoad | None:
    """
    Read the load that an upstream reports in a response.

    :param head: head of the response
    :return: the load; None if the field is missing or malformed
    """
    text = head.headers.get(LOAD)
    if text is None:
        return None
    try:
        numbers = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(numbers) < MIN_LOAD_FIELDS:
        return None
    running, waiting, slots, *rest = numbers
    # The optional fourth number is the current processing time in percent of the
    # typical one.
    slowdown = rest[0] / PERCENT if rest else 1.0
    return UpstreamLoad(
        running=running, waiting=waiting, slots=slots, slowdown=slowdown
    )


def read_probe(head: ResponseHead) -> tuple[UpstreamStatement, str]:
    """
    Read the response to a health check.

    :param head: head of the response
    :return: what the upstream says of itself, and its id
    """
    instance = head.headers.get(INSTANCE, "")
    statement = read_statement(head, instance)
    if statement.load is not None and head.line.code != OK:
        load = replace(statement.load, healthy=False)
        statement = replace(statement, load=load)
    return statement, instance
