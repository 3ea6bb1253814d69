"""Sends a request again while its slow attempt goes on."""

from dataclasses import replace

from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.events import RequestEvents
from mangohatch.entry.observer import RequestObserver
from mangohatch.entry.second_attempt import SecondAttempts, can_run_beside
from mangohatch.errors import RequestError
from mangohatch.timeline.event import EventKind

__all__ = ["RetriesBeside"]


class RetriesBeside:
    """
    Starts retries of attempts that are taken for lost but may be at work.

    Answers silence on a kept connection: the connection may be dead while its upstream
    is idle, or the upstream may be slow, and the service so full that the retry has to
    wait. The attempt goes on until one of the two is answered.

    :param second_attempts: runs the retries
    :param events: receives events
    :param observer: notified of retries
    """

    def __init__(
        self,
        *,
        second_attempts: SecondAttempts,
        events: RequestEvents,
        observer: RequestObserver,
    ) -> None:
        self._second_attempts = second_attempts
        self._events = events
        self._observer = observer

    def start(self, req: ActiveRequest, error: RequestError) -> bool:
        """
        Send a request again beside its attempt.

        :param req: a request whose retry is permitted
        :param error: why the attempt is taken for lost
        :return: whether a second attempt was started
        """
        if not can_run_beside(req) or (req.body is not None and req.body.has_rest):
            return False
        assert req.upstream is not None
        req.last_error = error
        call = replace(
            req.call,
            avoid=req.call.avoid | {req.upstream.name},
            attempt=req.call.attempt + 1,
        )
        second = self._second_attempts.start(req, call, on_ended=end_beside)
        second.needs_new_connection = True
        second.may_retry_same_upstream = True
        self._events.record(EventKind.REQUEST_RETRIED, req, error.code)
        self._observer.on_retried(req)
        return True


def end_beside(second: ActiveRequest) -> None:
    """
    Let the first attempt go on alone if the second one was not sent.

    :param second: a second attempt that has ended
    """
    assert second.race is not None
    if second.grant is None:
        second.race.dissolve()
