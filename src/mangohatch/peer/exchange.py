"""A request to several hosts, resent until they have answered."""

import asyncio
from collections.abc import Callable, Set
from typing import Any, Generic, TypeVar

from mangohatch.clock import Clock
from mangohatch.peer.bus import PeerBus

__all__ = ["Exchange"]

MS_PER_S = 1000.0

T = TypeVar("T")


class Exchange(Generic[T]):
    """
    Sends one request to several hosts and collects their answers.

    The owner receives the answers from the bus and passes them to :meth:`add_answer`.

    :param bus: sends the request to other hosts
    :param clock: source of time
    :param message: the request, resent to hosts without a final answer
    """

    def __init__(self, *, bus: PeerBus, clock: Clock, message: Any) -> None:
        self.answers: dict[str, T] = {}
        self._bus = bus
        self._clock = clock
        self._message = message
        self._changed = asyncio.Event()

    def add_answer(self, host_id: str, answer: T) -> None:
        """
        Add an answer, which replaces an earlier one of the same host.

        :param host_id: id of the host that answered
        :param answer: answer of the host
        """
        self.answers[host_id] = answer
        self._changed.set()

    async def run(
        self,
        *,
        wanted: Callable[[], Set[str]],
        final: Callable[[T], bool],
        wait_ms: float,
        resend_ms: float,
    ) -> Set[str]:
        """
        Send the request until every wanted host gave a final answer or time is up.

        :param wanted: returns the hosts whose answers are needed; called before each
            check, because the set may change
        :param final: returns whether the request need not be resent after an answer
        :param wait_ms: maximum time to wait, in milliseconds
        :param resend_ms: time between resends, in milliseconds
        :return: ids of the hosts without a final answer
        """
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            missing = self.list_missing(wanted(), final)
            left_ms = until_ms - self._clock.now_ms()
            if not missing or left_ms <= 0:
                return missing
            for host_id in sorted(missing):
                self._bus.send(host_id, self._message)
            resend_at_ms = self._clock.now_ms() + min(left_ms, resend_ms)
            while self.list_missing(wanted(), final):
                wait_left_ms = resend_at_ms - self._clock.now_ms()
                if wait_left_ms <= 0 or not await self.wait_for_answer(wait_left_ms):
                    break

    def list_missing(self, wanted: Set[str], final: Callable[[T], bool]) -> Set[str]:
        """
        List the hosts without a final answer.

        :param wanted: ids of the hosts whose answers are needed
        :param final: returns whether the request need not be resent after an answer
        :return: host ids
        """
        return {
            host_id
            for host_id in wanted
            if host_id not in self.answers or not final(self.answers[host_id])
        }

    async def wait_for_answer(self, wait_ms: float) -> bool:
        """
        Wait for the next answer.

        :param wait_ms: maximum time to wait, in milliseconds
        :return: whether an answer arrived
        """
        self._changed.clear()
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
