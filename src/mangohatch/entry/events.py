"""Request events, recorded at a bounded rate."""

from mangohatch.clock import Clock
from mangohatch.entry.active import ActiveRequest
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder

__all__ = ["RequestEvents"]

SLOW_REQUEST_MS = 1_000.0
WINDOW_MS = 1_000.0
MAX_EVENTS_PER_WINDOW = 50


class RequestEvents:
    """
    Records request events, at most ``MAX_EVENTS_PER_WINDOW`` of a kind per window.

    Without the limit, the frequent kinds of an overload would evict all other events
    from the recorder.

    :param clock: source of time
    :param recorder: receives the events; None to record none
    """

    def __init__(self, *, clock: Clock, recorder: Recorder | None) -> None:
        self._clock = clock
        self._recorder = recorder
        self._window_started_ms = clock.now_ms()
        self._counts: dict[EventKind, int] = {}

    def record(self, kind: EventKind, req: ActiveRequest, cause: str) -> None:
        """
        Record an event of a request.

        :param kind: kind of the event
        :param req: the request
        :param cause: code of the error that caused the event
        """
        now_ms = self._clock.now_ms()
        if self._recorder is None or not self._is_within_rate(kind, now_ms):
            return
        self._recorder.record(
            kind,
            cause=cause,
            request_id=req.call.request_id,
            service=req.call.service,
            upstream=req.upstream.name if req.upstream else "",
            duration_ms=now_ms - req.call.arrived_ms,
        )

    def record_slow(self, req: ActiveRequest) -> None:
        """
        Record a request that took longer than ``SLOW_REQUEST_MS``.

        :param req: a request that has ended
        """
        if self._clock.now_ms() - req.call.arrived_ms > SLOW_REQUEST_MS:
            self.record(EventKind.REQUEST_SLOW, req, "")

    def _is_within_rate(self, kind: EventKind, now_ms: float) -> bool:
        if now_ms - self._window_started_ms >= WINDOW_MS:
            self._window_started_ms = now_ms
            self._counts.clear()
        count = self._counts.get(kind, 0)
        self._counts[kind] = count + 1
        return count < MAX_EVENTS_PER_WINDOW
