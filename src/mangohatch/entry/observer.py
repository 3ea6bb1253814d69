"""Interface for notifications about the lifecycle of requests."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mangohatch.entry.active import ActiveRequest
from mangohatch.errors import RequestError

__all__ = ["NoObserver", "ObserverGroup", "RequestObserver"]


class RequestObserver(ABC):
    """Notified of the start, retries and end of requests, on the request path."""

    @abstractmethod
    def on_started(self, req: ActiveRequest) -> None:
        """
        Handle a request that is about to be forwarded.

        :param req: the request
        """

    @abstractmethod
    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        """
        Handle the end of a request.

        :param req: the request
        :param error: failure reported to the caller; None when a response was sent
        """

    @abstractmethod
    def on_retried(self, req: ActiveRequest) -> None:
        """
        Handle a request that is about to be retried.

        :param req: the request
        """


class NoObserver(RequestObserver):
    """Ignores all notifications."""

    def on_started(self, req: ActiveRequest) -> None:
        return None

    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        return None

    def on_retried(self, req: ActiveRequest) -> None:
        return None


class ObserverGroup(RequestObserver):
    """
    Forwards notifications to several observers.

    :param observers: observers in the order of notification
    """

    def __init__(self, *, observers: Sequence[RequestObserver]) -> None:
        self._observers = observers

    def on_started(self, req: ActiveRequest) -> None:
        for observer in self._observers:
            observer.on_started(req)

    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        for observer in self._observers:
            observer.on_ended(req, error)

    def on_retried(self, req: ActiveRequest) -> None:
        for observer in self._observers:
            observer.on_retried(req)
