"""Errors of requests whose framing or headers are not accepted."""

from mangohatch.errors.request import BadRequest, RequestError

__all__ = [
    "BodyTooLarge",
    "ExpectationFailed",
    "HeaderTooLarge",
    "MethodRefused",
    "RequestTimeout",
    "TargetTooLong",
    "UnsupportedCoding",
    "UnsupportedVersion",
]


class HeaderTooLarge(BadRequest):
    """The request head is longer than the entry host accepts."""

    code = "header_too_large"
    status = 431


class TargetTooLong(BadRequest):
    """The request target is longer than the entry host accepts."""

    code = "target_too_long"
    status = 414


class MethodRefused(BadRequest):
    """The request method is one that the entry host never forwards."""

    code = "method_refused"
    status = 405


class UnsupportedCoding(BadRequest):
    """The request has a transfer coding other than ``chunked``."""

    code = "unsupported_coding"
    status = 501


class UnsupportedVersion(BadRequest):
    """The protocol version is neither HTTP/1.0 nor HTTP/1.1."""

    code = "unsupported_version"
    status = 505


class ExpectationFailed(BadRequest):
    """The ``Expect`` field names something other than ``100-continue``."""

    code = "expectation_failed"
    status = 417


class RequestTimeout(RequestError):
    """The caller did not send its request in time."""

    code = "request_timeout"
    status = 408


class BodyTooLarge(BadRequest):
    """The request body is larger than the entry host accepts."""

    code = "body_too_large"
    status = 413
