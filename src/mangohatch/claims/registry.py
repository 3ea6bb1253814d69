"""The interface between forwarding and the registry of keyed requests."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from mangohatch.errors import Outcome

__all__ = ["Answer", "ClaimRegistry", "ClaimTicket"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Answer:
    """The first answer to a keyed request; ``body`` is None when it was not kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimTicket(ABC):
    """The exclusive right to run a keyed request once."""

    @abstractmethod
    async def finish(self, outcome: Outcome, answer: Answer | None) -> None:
        """
        Record how the request ended; a resend then hears the same.

        :param outcome: done, not run or unknown
        :param answer: the whole answer when the outcome is done
        """


class ClaimRegistry(ABC):
    """Knows which keyed requests run, have ended or are of unknown outcome."""

    @abstractmethod
    async def begin(
        self, *, service: str, key: str, request_id: str, deadline_ms: float
    ) -> ClaimTicket | Answer:
        """
        Claim a key before its request is sent to any upstream.

        :param service: name of the service
        :param key: the caller's ``Idempotency-Key``
        :param request_id: id of this request
        :param deadline_ms: monotonic time after which the request is not sent
        :return: a ticket to run it, or the answer that the first attempt got
        :raises RequestError: in progress, unknown, or not run and to be resent
        """
