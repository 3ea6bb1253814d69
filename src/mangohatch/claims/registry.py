"""Interface between request forwarding and the registry of keyed requests."""

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
    """Exclusive permission to run a keyed request once."""

    @abstractmethod
    async def finish(self, outcome: Outcome, answer: Answer | None) -> None:
        """
        Record how the request ended; a resend then receives the same result.

        :param outcome: done, not run or unknown
        :param answer: the complete answer, if the outcome is done
        """


class ClaimRegistry(ABC):
    """Tracks which keyed requests run, have ended or have an unknown outcome."""

    @abstractmethod
    async def begin(
        self, *, service: str, key: str, request_id: str, deadline_ms: float
    ) -> ClaimTicket | Answer:
        """
        Claim a key before its request is sent to any upstream.

        :param service: name of the service
        :param key: the caller's ``Idempotency-Key``
        :param request_id: id of this request
        :param deadline_ms: monotonic time in milliseconds after which the request is
            not sent
        :return: a ticket to run the request, or the answer of the first attempt
        :raises RequestError: if the first attempt is in progress or its outcome is
            unknown, or if the key could not be claimed and the request may be resent
        """
