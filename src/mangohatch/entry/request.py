"""Conversion of a checked request head to a call and to upstream header fields."""

import re
from collections.abc import Iterable, Mapping

import xxhash
from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.core.call import Call
from mangohatch.core.tables import ServiceRow
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.body import RequestBody
from mangohatch.entry.head import decode_path
from mangohatch.entry.headers import (
    ATTEMPT_HEADER,
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    drop_hop_by_hop,
)
from mangohatch.entry.routes import (
    clip_deadline_ms,
    find_service,
    is_idempotent,
    read_attempt,
)
from mangohatch.errors import BadRequest

__all__ = [
    "make_call",
    "make_fingerprint",
    "prepare_framing",
    "prepare_headers",
    "read_request_id",
]

IDENTIFIER = re.compile(r"[A-Za-z0-9._:\-]{1,128}")
MAX_KEY_CHARACTERS = 256
# Requests with these methods are always framed, by length or by chunked coding.
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


def read_request_id(headers: HTTPHeaders) -> str:
    """
    Read the request id set by the caller.

    :param headers: header fields
    :return: the id; empty when it is missing or malformed
    """
    text = headers.get(REQUEST_ID_HEADER)
    if text is None or IDENTIFIER.fullmatch(text) is None:
        return ""
    return text


def make_call(
    *,
    line: RequestStartLine,
    headers: HTTPHeaders,
    request_id: str,
    services: Mapping[str, ServiceRow],
    now_ms: float,
) -> Call:
    """
    Create the call of a request.

    :param line: request line
    :param headers: header fields
    :param request_id: id of the request
    :param services: services by name
    :param now_ms: time of arrival in milliseconds
    :return: the call
    :raises NoRoute: when no service serves the path
    :raises BadRequest: when a header field is malformed
    """
    path = decode_path(line.path.partition("?")[0])
    spec = find_service(services, path).spec
    budget_ms = clip_deadline_ms(headers.get(DEADLINE_HEADER), spec.deadline_ms)
    customer = headers.get(CUSTOMER_HEADER, "")
    if customer and IDENTIFIER.fullmatch(customer) is None:
        raise BadRequest("X-Customer is not an identifier")
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise BadRequest("Idempotency-Key is too long")
    return Call(
        request_id=request_id,
        service=spec.name,
        arrived_ms=now_ms,
        deadline_ms=now_ms + budget_ms,
        idempotent=is_idempotent(spec, line.method, path),
        customer=customer,
        attempt=read_attempt(headers.get(ATTEMPT_HEADER)),
    )


def prepare_headers(req: ActiveRequest) -> None:
    """
    Replace received header fields by those sent upstream and set the fingerprint.

    :param req: a request whose body is complete or longer than its beginning
    :raises BadRequest: when the body can't be framed for the upstream
    """
    prepare_framing(req)
    req.headers[REQUEST_ID_HEADER] = req.call.request_id
    key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    identity = (req.call.service, req.line.method, req.line.path, key)
    req.call.fingerprint = make_fingerprint(req, identity)


def prepare_framing(req: ActiveRequest) -> None:
    """
    Remove the fields of the caller's connection and set the length of the body.

    :param req: a request whose body is complete or whose replay buffer is full
    :raises BadRequest: when the body can't be framed for the upstream
    """
    drop_hop_by_hop(req.headers)
    req.headers.pop("Expect", None)
    frame_body(req.line.method, req.headers, req.body)


def frame_body(method: str, headers: HTTPHeaders, body: RequestBody | None) -> None:
    """
    Set ``Content-Length`` when the length of the body is known.

    :param method: request method
    :param headers: header fields sent upstream
    :param body: the body; None for a request without a body
    :raises BadRequest: when a long chunked body comes with a method that is not in
        ``BODY_METHODS``
    """
    if body is None:
        if method in BODY_METHODS:
            headers["Content-Length"] = "0"
    elif not body.has_rest:
        headers["Content-Length"] = str(len(body.beginning))
    elif "Content-Length" not in headers and method not in BODY_METHODS:
        raise BadRequest(f"a chunked body of this length needs {sorted(BODY_METHODS)}")


def make_fingerprint(req: ActiveRequest, identity: Iterable[str]) -> str:
    """
    Compute a fingerprint that a request and its resends have in common.

    :param req: the request
    :param identity: values besides the body that are equal in a resend
    :return: hash of these values and the buffered beginning of the body
    """
    digest = xxhash.xxh64("\n".join(identity).encode())
    if req.body is not None:
        digest.update(req.body.beginning)
    return digest.hexdigest()
