"""The interface through which the end of each request is told."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mangohatch.entry.active import ActiveRequest
from mangohatch.errors import RequestError

__all__ = ["NoObserver", "ObserverGroup", "RequestObserver"]


class RequestObserver(ABC):
    """Hears of requests that begin, end and are retried, on the request path."""

    @abstractmethod
    def on_started(self, req: ActiveRequest) -> None:
        """
        A request is about to be forwarded.

        :param req: the request
        """

    @abstractmethod
    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        """
        A request ended.

        :param req: the request
        :param error: what its caller was told, None when it got an answer
        """

    @abstractmethod
    def on_retried(self, req: ActiveRequest) -> None:
        """
        A request is about to be sent again.

        :param req: the request
        """


class NoObserver(RequestObserver):
    """Ignores everything."""

    def on_started(self, req: ActiveRequest) -> None:
        return None

    def on_ended(self, req: ActiveRequest, error: RequestError | None) -> None:
        return None

    def on_retried(self, req: ActiveRequest) -> None:
        return None


class ObserverGroup(RequestObserver):
    """
    Passes on to several observers.

    :param observers: each hears of every request
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
