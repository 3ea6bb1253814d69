"""Checks requests in flight for passed deadlines and silent connections."""

import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.router import Router
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.events import RequestEvents
from mangohatch.entry.late_ticks import LateTicks
from mangohatch.errors import (
    AttemptMoved,
    ConnectionSilent,
    DeadlineExceeded,
    RequestError,
    ResponseLate,
    Stopping,
    UpstreamUnreachable,
)
from mangohatch.timeline.event import EventKind
from mangohatch.upstream.connection import UpstreamConnection
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["RequestMonitor"]

RequestRetry = Callable[[ActiveRequest, Callable[[bool], None]], None]

CONNECT_TIMEOUT_MS = 300.0
CONTINUABLE_STALL_MS = 1_500.0
MIN_TRANSFER_BYTES_PER_MS = 10.0
BODY_STALL_MS = 30_000.0
# Longest pause of a response after its deadline; callers expect an end within 500 ms.
LATE_STALL_MS = 250.0
RETRY_ASK_INTERVAL_MS = 200.0  # of a request whose retry was refused
# Keeps a host that is always late from waiting for a dead upstream until the deadline.
MAX_LATE_MS = 500.0


class RequestMonitor:
    """
    Aborts requests past their deadline and attempts that make no progress.

    A slow attempt whose upstream may be at work ends only once its retry is permitted
    and another upstream has room for it; otherwise it goes on. If it is on a kept
    connection, which may be dead while its upstream is idle, it goes on beside its
    retry. On a host that stops it goes on alone.

    :param clock: source of time
    :param router: cancels calls that are aborted while they are queued
    :param pool: drops idle connections to the address of a silent connection
    :param events: receives events
    :param may_retry: returns whether a request may be sent again beside or after an
        attempt that may run, without regard to the retry budget
    :param may_continue: the same of a request whose response has begun
    :param request_retry: asks for one retry of a request from the retry budget
    :param retry_beside: sends a request whose retry is permitted again while its
        attempt goes on; returns whether it did
    :param should_move: returns whether a move to another upstream would make a request
        meet its objective or deadline; None to never move requests
    :param spend_retry: takes one retry of a request from the retry budget; returns
        whether the retry is permitted
    :param hedge: sends a second attempt beside a slow one if one is permitted; returns
        whether two attempts run; None to send none
    :param bounds_transfer: whether a response that has begun must end by the deadline,
        apart from the time that a known length takes while it makes progress
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router | QuarantineGate,
        pool: ConnectionPool,
        events: RequestEvents,
        may_retry: Callable[[ActiveRequest], bool],
        may_continue: Callable[[ActiveRequest], bool],
        request_retry: RequestRetry,
        retry_beside: Callable[[ActiveRequest, RequestError], bool],
        should_move: Callable[[Grant], bool] | None = None,
        spend_retry: Callable[[ActiveRequest], bool] | None = None,
        hedge: Callable[[ActiveRequest], bool] | None = None,
        bounds_transfer: bool = False,
    ) -> None:
        self._bounds_transfer = bounds_transfer
        self._should_move = should_move
        self._spend_retry = spend_retry
        self._hedge = hedge
        self._clock = clock
        self._router = router
        self._pool = pool
        self._events = events
        self._may_retry = may_retry
        self._may_continue = may_continue
        self._request_retry = request_retry
        self._retry_beside = retry_beside
        self._late_ticks = LateTicks()

    def tick(
        self, requests: Iterable[ActiveRequest], *, answer_by_ms: float = math.inf
    ) -> None:
        """
        Check each request once.

        :param requests: requests in flight
        :param answer_by_ms: time by which each is answered, whatever its deadline, in
            milliseconds
        """
        now_ms = self._clock.now_ms()
        self._late_ticks.record(now_ms)
        leaving = answer_by_ms < math.inf
        for req in requests:
            if req.sink.sent:
                self._check_progress(req, now_ms, leaving=leaving)
                continue
            if req.awaits_head:
                self._check_silence(req, now_ms, leaving=leaving)
                if self._hedge is None or not self._hedge(req):
                    self._check_placement(req)
            elif req.conn is not None and not req.conn.connected:
                self._check_connecting(req, req.conn, now_ms)
            if now_ms >= answer_by_ms:
                req.abort(make_stop_error(req), self._router)
            elif now_ms >= req.call.deadline_ms:
                error = DeadlineExceeded("no answer before the deadline")
                req.abort(error, self._router)

    def _check_progress(
        self, req: ActiveRequest, now_ms: float, *, leaving: bool
    ) -> None:
        conn = req.conn
        if conn is None:
            return
        if req.sink.is_write_pending:
            req.held_up_ms = now_ms
            return
        quiet_since_ms = max(conn.last_read_ms, conn.sent_ms, req.held_up_ms)
        quiet_ms = now_ms - quiet_since_ms
        if self._bounds_transfer and self._is_transfer_late(req, now_ms, quiet_ms):
            error = ResponseLate("the response did not end in time")
            req.abort(error, self._router)
            return
        if quiet_ms > BODY_STALL_MS:
            req.abort_attempt(ResponseLate("the response stopped"))
        elif quiet_ms > CONTINUABLE_STALL_MS:
            stopped = ConnectionSilent("the response stopped")
            self._end_if_permitted(
                req, conn, stopped, self._may_continue, leaving=leaving
            )

    def _is_transfer_late(
        self, req: ActiveRequest, now_ms: float, quiet_ms: float
    ) -> bool:
        if now_ms >= transfer_deadline_ms(req):
            return True
        allowed_ms = LATE_STALL_MS + self._late_ms(now_ms - quiet_ms)
        late_ms = now_ms - req.call.deadline_ms
        return late_ms > LATE_STALL_MS and quiet_ms > allowed_ms

    def _check_connecting(
        self, req: ActiveRequest, conn: UpstreamConnection, now_ms: float
    ) -> None:
        late_ms = self._late_ms(conn.last_read_ms)
        if now_ms - conn.last_read_ms > CONNECT_TIMEOUT_MS + late_ms:
            detail = f"upstream {conn.upstream.name} did not accept in time"
            req.abort_attempt(UpstreamUnreachable(detail))

    def _late_ms(self, start_ms: float) -> float:
        """Return for how long this host could not see what arrived since a time."""
        return min(self._late_ticks.since(start_ms), MAX_LATE_MS)

    def _check_placement(self, req: ActiveRequest) -> None:
        if self._should_move is None or self._spend_retry is None:
            return
        if has_other_attempt(req):
            return
        if req.grant is None or req.retry_allowed:
            return
        if not self._may_retry(req) or not self._should_move(req.grant):
            return
        if req.attempt_failure is None and self._spend_retry(req):
            req.retry_allowed = True
            req.abort_attempt(AttemptMoved("another upstream should be done sooner"))

    def _check_silence(
        self, req: ActiveRequest, now_ms: float, *, leaving: bool
    ) -> None:
        conn = req.conn
        if conn is None:
            return
        late_ms = self._late_ms(conn.sent_ms)
        silent = now_ms - conn.sent_ms > req.silence_limit_ms + late_ms
        if not silent and not self._pool.is_dead(conn):
            return
        if not req.silent:
            req.silent = True
            if req.reuses_connection:
                self._events.record(EventKind.CONNECTION_SILENT, req, "")
                self._pool.drop_stale_siblings(conn)
        # Silence on a new connection counts as evidence against the upstream.
        late: RequestError = ResponseLate("the response did not begin in time")
        if req.reuses_connection:
            late = ConnectionSilent("the connection went silent")
        self._end_if_permitted(req, conn, late, self._may_retry, leaving=leaving)

    def _end_if_permitted(
        self,
        req: ActiveRequest,
        conn: UpstreamConnection,
        error: RequestError,
        may_send_again: Callable[[ActiveRequest], bool],
        *,
        leaving: bool,
    ) -> None:
        """
        End an attempt once a retry is permitted and another upstream has room for it.

        :param req: the request
        :param conn: connection of the attempt
        :param error: failure of the attempt
        :param may_send_again: returns whether the request may still be sent again
        :param leaving: whether this host stops
        """
        asked_ms = self._clock.now_ms()
        if req.asks_retry or asked_ms < req.ask_again_ms or not may_send_again(req):
            return
        if has_other_attempt(req):
            return
        dead = self._pool.is_dead(conn)
        if leaving and not dead:
            return
        # The retry of an attempt that goes on beside it may wait for its turn.
        if not dead and not req.reuses_connection and not self._has_room(req, conn):
            req.ask_again_ms = asked_ms + RETRY_ASK_INTERVAL_MS
            return
        last_read_ms = conn.last_read_ms

        def decide(permitted: bool) -> None:
            req.asks_retry = False
            req.ask_again_ms = asked_ms + RETRY_ASK_INTERVAL_MS
            if not permitted or req.conn is not conn or req.failure is not None:
                return
            if conn.last_read_ms != last_read_ms or not may_send_again(req):
                return
            if req.sink.sent:
                self._events.record(EventKind.CONNECTION_SILENT, req, "")
                self._pool.drop_stale_siblings(conn)
            elif not dead and req.reuses_connection and self._retry_beside(req, error):
                return
            req.retry_allowed = True
            req.abort_attempt(error)

        req.asks_retry = True
        self._request_retry(req, decide)

    def _has_room(self, req: ActiveRequest, conn: UpstreamConnection) -> bool:
        avoid = req.call.avoid | {conn.upstream.name}
        return self._router.has_room(replace(req.call, avoid=avoid))


def has_other_attempt(req: ActiveRequest) -> bool:
    """
    Return whether another attempt of the same request still runs.

    :param req: an attempt
    :return: whether the request may end well without it
    """
    return req.race is not None and not req.race.is_last(req)


def make_stop_error(req: ActiveRequest) -> RequestError:
    """
    Make the error of a request that this host can't finish before it stops.

    :param req: the request
    :return: the error, by whether an upstream may have run the request
    """
    if req.may_have_run:
        return DeadlineExceeded("this host stops before the end of the response")
    return Stopping("this host stops before the request can be sent")


def transfer_deadline_ms(req: ActiveRequest) -> float:
    """
    Return when a response that has begun must have ended.

    :param req: the request, whose response has begun
    :return: monotonic time in milliseconds
    """
    head = req.sink.head
    length = head.headers.get("Content-Length") if head is not None else None
    transfer_ms = int(length) / MIN_TRANSFER_BYTES_PER_MS if length else 0.0
    return req.call.deadline_ms + transfer_ms
