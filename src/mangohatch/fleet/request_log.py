"""Logs one line per request and per retry, at a bounded rate."""

import math
from collections.abc import Callable, Mapping

import structlog

from mangohatch.clock import Clock
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.observer import RequestObserver
from mangohatch.errors import KeyRejected, RequestError

__all__ = ["RequestLog"]

LINES_PER_SECOND = 200.0  # about 80 KB/s and 1 % of a core
MAX_TARGET_CHARACTERS = 100
MS_PER_S = 1000.0
DONE = "done"

log = structlog.get_logger()


class RequestLog(RequestObserver):
    """
    Logs how each request ended and what its last placement was based on.

    Lines about failures and retries have priority: they may use the whole rate, lines
    about successes only half of it.

    :param clock: source of time
    :param describe_directory: describes the knowledge by which requests are refused
    """

    def __init__(
        self, *, clock: Clock, describe_directory: Callable[[], Mapping[str, object]]
    ) -> None:
        self._clock = clock
        self._describe_directory = describe_directory
        self._tokens = LINES_PER_SECOND
        self._refilled_ms = clock.now_ms()
        self.dropped = 0

    def on_started(self, req: ActiveRequest) -> None:
        return None

    def on_retried(self, req: ActiveRequest) -> None:
        error = req.last_error
        if not self._take_token(reserve=0.0):
            return
        log.info(
            "request_retried",
            request=req.call.request_id,
            attempt=req.call.attempt,
            cause=error.code if error else "",
            upstream=req.upstream.name if req.upstream else "",
            detail=error.detail if error else "",
            **self._describe_path(req),
        )

    def on_key_rejected(self, request_id: str, route: str, cause: str) -> None:
        """
        Log a request without a valid key of a client account.

        :param request_id: id of the request
        :param route: name of its route
        :param cause: why the key was rejected
        """
        if self._take_token(reserve=0.0):
            log.info(
                "key_rejected",
                request=request_id,
                route=route,
                cause=cause,
                **self._describe_directory(),
            )

    def on_refused(self, request_id: str, target: str, error: RequestError) -> None:
        """
        Log a request that the configuration of this host does not allow.

        :param request_id: id of the request
        :param target: path and query of the request
        :param error: why it was refused
        """
        if isinstance(error, KeyRejected):
            return  # has a line of its own, with the route
        if self._take_token(reserve=0.0):
            log.info(
                "request_refused",
                request=request_id,
                target=target[:MAX_TARGET_CHARACTERS],
                cause=error.code,
                detail=error.detail,
                **self._describe_directory(),
            )

    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        reserve = LINES_PER_SECOND / 2 if error is None else 0.0
        if not self._take_token(reserve=reserve):
            return
        call = req.call
        fields: dict[str, object] = {
            "request": call.request_id,
            "route": call.route,
            "service": call.service,
            "outcome": DONE if error is None else str(error.outcome),
            "cause": "" if error is None else error.code,
            "total_ms": round(self._clock.now_ms() - call.arrived_ms),
            "attempt": call.attempt,
            "config_version": call.config_version,
        }
        if req.sink.head is not None:
            fields["status"] = req.sink.head.line.code
        if error is not None:
            fields |= {
                "detail": error.detail,
                "caller": call.customer,
                "target": req.line.path[:MAX_TARGET_CHARACTERS],
                "fingerprint": call.fingerprint,
                "path_fingerprint": call.path_fingerprint,
            }
            fields |= self._describe_path(req)
        if req.hedged is not None:
            first, hedge, winner = req.hedged
            fields |= {"first": first, "hedge": hedge, "winner": winner}
        if req.relay:
            fields["relay"] = req.relay
        fields |= describe_grant(req)
        log.info("request_ended", **fields)

    def _describe_path(self, req: ActiveRequest) -> dict[str, object]:
        """Describe since when this host has heard nothing from the last upstream."""
        if req.upstream is None or not math.isfinite(req.upstream.path.heard_ms):
            return {}
        return {"quiet_ms": round(self._clock.now_ms() - req.upstream.path.heard_ms)}

    def _take_token(self, *, reserve: float) -> bool:
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_ms) / MS_PER_S * LINES_PER_SECOND
        self._refilled_ms = now_ms
        self._tokens = min(LINES_PER_SECOND, self._tokens + refilled)
        if self._tokens < 1.0 + reserve:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


def describe_grant(req: ActiveRequest) -> dict[str, object]:
    """
    Describe what the last placement of a request was based on.

    :param req: the request
    :return: fields of the log line; empty if the request was never placed
    """
    grant = req.grant
    if grant is None:
        return {}
    fields: dict[str, object] = {
        "upstream": grant.upstream.name,
        "waited_ms": round(grant.granted_ms - req.call.arrived_ms),
    }
    basis = grant.basis
    if basis is not None:
        fields |= {
            "expected_ms": round(basis.expected_ms),
            "slowdown": basis.slowdown,
            "hold_ms": basis.hold_ms if basis.hold_ms > 1e6 else round(basis.hold_ms),
            "report_age_ms": round(basis.report_age_ms),
            "occupancy": basis.occupancy,
            "free": basis.free,
        }
        if basis.withheld:
            fields["withheld"] = "; ".join(basis.withheld)
    return fields
