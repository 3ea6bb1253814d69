"""Errors of one request, each with its outcome and HTTP status."""

from enum import StrEnum
from typing import ClassVar

from mangohatch.errors.base import MangohatchError

__all__ = [
    "BadRequest",
    "DeadlineExceeded",
    "HostCutOff",
    "KeyRejected",
    "NoConfiguration",
    "NoRoute",
    "NoUpstream",
    "Outcome",
    "Overloaded",
    "QuotaExceeded",
    "QuotaUnanswered",
    "RequestError",
    "RegionExcluded",
    "RequestQuarantined",
    "Stopping",
    "UpstreamAborted",
    "UpstreamRefused",
    "UpstreamWithdrawn",
    "UpstreamUnreachable",
    "ZoneEvacuated",
]


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestError(MangohatchError):
    """
    A request that is answered by the entry host instead of an upstream.

    :param detail: description of the failure in one sentence
    :param outcome: outcome of the request; None for the default of the class
    :param retry_after_ms: delay in milliseconds after which the caller may retry; None
        for the default of the protocol adapter, if any
    """

    code: ClassVar[str] = "request_failed"
    status: ClassVar[int] = 500
    default_outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    def __init__(
        self,
        detail: str,
        *,
        outcome: Outcome | None = None,
        retry_after_ms: float | None = None,
    ) -> None:
        self.detail = detail
        self.outcome = outcome or self.default_outcome
        self.retry_after_ms = retry_after_ms
        super().__init__(detail)


class BadRequest(RequestError):
    """The request is malformed or ambiguous."""

    code = "bad_request"
    status = 400


class NoRoute(RequestError):
    """No service matches the request."""

    code = "no_route"
    status = 404


class KeyRejected(RequestError):
    """
    The request bears no valid key of a client account.

    :param detail: description of the failure, without the key
    :param cause: one of few causes, for counters
    """

    code = "key_rejected"
    status = 401

    def __init__(self, detail: str, *, cause: str) -> None:
        super().__init__(detail)
        self.cause = cause


class QuotaExceeded(RequestError):
    """The client account has used up its quota."""

    code = "quota_exceeded"
    status = 429


class QuotaUnanswered(RequestError):
    """The owner of the client account's quota did not answer in time."""

    code = "quota_unanswered"
    status = 503


class NoConfiguration(RequestError):
    """This host has not received its routes yet."""

    code = "no_configuration"
    status = 503


class NoUpstream(RequestError):
    """The service has no upstream that accepts new requests."""

    code = "no_upstream"
    status = 503


class ZoneEvacuated(NoUpstream):
    """All upstreams that could run the request are in evacuated zones."""

    code = "zone_evacuated"


class RegionExcluded(NoUpstream):
    """No upstream is in a region that may run the request."""

    code = "region_excluded"


class Overloaded(RequestError):
    """Admission control refused the request before it was sent."""

    code = "overloaded"
    status = 503


class RequestQuarantined(RequestError):
    """Attempts of this request crashed upstreams; it is refused while in quarantine."""

    code = "request_quarantined"
    status = 503


class Stopping(RequestError):
    """The entry host is shutting down and accepts no new requests."""

    code = "stopping"
    status = 503


class UpstreamUnreachable(RequestError):
    """No connection to an upstream could be opened; no byte was sent."""

    code = "upstream_unreachable"
    status = 502


class HostCutOff(UpstreamUnreachable):
    """Neither this host nor a peer that it asked reaches the upstream."""

    code = "host_cut_off"
    status = 503


class UpstreamWithdrawn(RequestError):
    """The upstream ended or paused new work before the request was sent to it."""

    code = "upstream_withdrawn"
    status = 503


class UpstreamRefused(RequestError):
    """The upstream stated that it did not run the request."""

    code = "upstream_refused"
    status = 503


class UpstreamAborted(RequestError):
    """The connection broke after the request may have reached the upstream."""

    code = "upstream_aborted"
    status = 502
    default_outcome = Outcome.UNKNOWN


class DeadlineExceeded(RequestError):
    """The deadline passed before the whole response arrived."""

    code = "deadline_exceeded"
    status = 504
    default_outcome = Outcome.UNKNOWN
