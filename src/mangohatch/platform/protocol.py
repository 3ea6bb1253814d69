"""Reads and writes the platform's header fields and response statuses."""

import random
import re

from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.core.accounts import Account
from mangohatch.core.admission.caller_age import CallerAgeTable
from mangohatch.core.call import Call
from mangohatch.core.routes import Route
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.headers import drop_hop_by_hop
from mangohatch.entry.protocol import ErrorResponse, ProtocolAdapter
from mangohatch.entry.request import make_fingerprint, prepare_framing
from mangohatch.errors import (
    BadRequest,
    DeadlineExceeded,
    KeyRejected,
    NoConfiguration,
    NoRoute,
    Outcome,
    QuotaExceeded,
    RequestError,
    UpstreamAborted,
    UpstreamFailed,
)
from mangohatch.platform.accounts import TENANT, read_key, remove_identity
from mangohatch.platform.statement import (
    RETRY_AFTER,
    SIGNATURE,
    is_not_run,
    read_statement,
)
from mangohatch.upstream.response import ResponseHead

__all__ = ["PlatformProtocol"]

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
EXPECTED_INSTANCE = "Expected-Instance"


OK = 200
MULTIPLE_CHOICES = 300
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
REQUEST_TIMEOUT = 408
# Callers send a request with such an answer again, as one that has not run. An upstream
# promises that with a field of its own only.
PROMISES = frozenset({REQUEST_TIMEOUT, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE})

# Errors whose status tells the caller what to do besides sending the request again.
OWN_STATUS = (BadRequest, KeyRejected, NoRoute, QuotaExceeded)
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]+)?")
MS_PER_SECOND = 1000.0
# Above the size of nearly all responses. Each caller connection buffers at most one.
MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
DEFAULT_RETRY_AFTER_MS = 200.0  # if there is no estimate of when a slot becomes free


class PlatformProtocol(ProtocolAdapter):
    """
    Protocol adapter for callers and upstreams of the platform.

    :param rng: source of random numbers, chooses among the targets of a route
    :param caller_ages: estimates how long callers have waited before an attempt; None
        to take each attempt for a first one
    """

    allows_unframed = True
    bounds_transfer = True
    max_buffered_bytes = MAX_BUFFERED_RESPONSE_BYTES

    def __init__(
        self, *, rng: random.Random, caller_ages: CallerAgeTable | None = None
    ) -> None:
        self._rng = rng
        self._caller_ages = caller_ages

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
        account, digest = self._identify(headers, route, tables, request_id)
        allowed_ms = read_deadline_ms(headers, route.timeout_ms)
        budget_ms = min(allowed_ms, route.timeout_ms)
        age_ms = 0.0
        if self._caller_ages is not None:
            # Few requests of each route reach a host. Those with the same objective
            # come from callers of the same kind.
            group = route.objective_ms
            age_ms = self._caller_ages.estimate_ms(group, allowed_ms)
        return Call(
            request_id=request_id,
            service=route.choose(self._rng),
            arrived_ms=now_ms,
            deadline_ms=now_ms + budget_ms,
            idempotent=route.idempotent,
            customer=account.name if account else caller,
            route=route.name,
            priority=route.priority,
            max_attempts=route.max_attempts,
            objective_ms=now_ms + route.objective_ms - age_ms,
            response_bytes=tables.response_bytes.get(route.name, 0.0),
            allowed_regions=(
                account.restrict(route.allowed_regions)
                if account
                else route.allowed_regions
            ),
            account=account.name if account else "",
            key_digest=digest,
            account_priority=(
                account.priority if account else tables.accounts.lowest_priority
            ),
            config_version=tables.routes.version,
        )

    @staticmethod
    def _identify(
        headers: HTTPHeaders, route: Route, tables: Tables, request_id: str
    ) -> tuple[Account | None, bytes]:
        """Find the account of a request, and remove its key from the request."""
        if not tables.accounts.enabled:
            return None, b""
        try:
            digest = read_key(headers)
            account = tables.accounts.find_by_key(digest)
            if account is None:
                raise KeyRejected("the request bears an unknown key", cause="unknown")
        except KeyRejected as exc:
            if route.public:
                return None, b""
            tables.accounts.record_rejection(
                request_id=request_id, route=route.name, cause=exc.cause
            )
            raise
        finally:
            remove_identity(headers)
        return account, digest

    def prepare_headers(self, req: ActiveRequest) -> None:
        prepare_framing(req)
        # A request that crashes upstreams is sent again under another id. Routes may be
        # renamed meanwhile.
        call = req.call
        # Set after the removal of the fields that the caller's ``Connection`` names.
        if call.account:
            req.headers[TENANT] = call.account
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

    def is_not_run(self, head: ResponseHead, *, kept: bool = False) -> bool:
        if not is_not_run(head):
            return False
        if kept and REQUEST_ID not in head.headers:
            raise UpstreamAborted("a refusal on a kept connection names no request")
        return True

    def promises_not_run(self, head: ResponseHead) -> bool:
        return head.line.code in PROMISES

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
        if status == UNAUTHORIZED:
            headers["WWW-Authenticate"] = "Bearer"
        if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
            retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
            headers[RETRY_AFTER] = f"{retry_after_ms / MS_PER_SECOND:.3f}"
        return ErrorResponse(status=status, headers=headers, body=body)


def choose_status(error: RequestError) -> int:
    """
    Choose the response status that matches the outcome of a failed request.

    :param error: the failure, with its final outcome
    :return: the error's own status for a bad request, an unknown route, a rejected key
        or an exceeded quota, if the request has not run; 503 for any other request that
        has not run and will not; 504 after the deadline, else 502, for a request that
        may have run
    """
    if isinstance(error, OWN_STATUS) and error.outcome is Outcome.NOT_RUN:
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
