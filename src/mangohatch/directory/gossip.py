"""Spreads the version marks of a host to a few random members."""

import random
from collections.abc import Callable, Iterable

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.exchange_delay import ExchangeDelay
from mangohatch.directory.ranking import ReaderRanking
from mangohatch.directory.settings import FollowerSettings
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.directory import DirectoryMark, DirectoryMarks

__all__ = ["MarkGossip"]

EXCHANGE_SPREAD = 0.2  # share of the interval by which exchanges vary

NEXT_READERS = 1  # hosts next in the ranking that always receive news

log = structlog.get_logger()


class MarkGossip:
    """
    Sends the marks of this host, so that each host sends the same number at any size.

    A host that has news sends it once to ``fan_out`` random members: n hosts know it
    after about log(n) rounds, and each has sent ``fan_out`` messages. With 5 of them
    about 1 host in 150 receives none; it learns the news by an exchange, which each
    host begins with one random member every ``exchange_ms``. The answer to an exchange
    also shows that this host still receives messages.

    :param clock: source of time
    :param rng: selects members
    :param bus: sends the messages
    :param ranking: lists the members
    :param make_marks: returns the marks of this host
    :param delay: compares the begin of exchanges with their answers
    :param cfg: intervals and numbers of receivers
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        bus: PeerBus,
        ranking: ReaderRanking,
        make_marks: Callable[[], list[DirectoryMark]],
        delay: ExchangeDelay,
        cfg: FollowerSettings,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._bus = bus
        self._ranking = ranking
        self._make_marks = make_marks
        self._cfg = cfg
        self._delay = delay
        self._refresh_pending = False
        self._repeats = 0
        self._next_exchange_ms = 0.0

    def spread_change(self, *, urgent: bool = False) -> None:
        """
        Send the marks at once, after a change of content.

        :param urgent: whether to send them to other members again with the next ticks
        """
        if urgent:
            self._repeats = self._cfg.change_repeats
        self._send_news(self._cfg.fan_out)

    def spread_refresh(self) -> None:
        """Send the marks with the next tick, after a reading without change."""
        self._refresh_pending = True

    def tick(self, *, known: bool) -> None:
        """
        Send news, and begin an exchange if one is due.

        :param known: whether this host has received every part
        """
        now_ms = self._clock.now_ms()
        if not self._ranking.others:
            return
        if self._repeats:
            self._repeats -= 1
            self._send_news(self._cfg.fan_out)
        if self._refresh_pending:
            self._send_news(self._cfg.refresh_fan_out)
        if now_ms >= self._next_exchange_ms:
            spread = self._rng.uniform(1.0 - EXCHANGE_SPREAD, 1.0 + EXCHANGE_SPREAD)
            cfg = self._cfg
            interval_ms = cfg.exchange_ms if known else cfg.first_exchange_ms
            self._next_exchange_ms = now_ms + interval_ms * spread
            receivers = self._sample(1)
            self._delay.begin(receivers[0])
            self._send(receivers, exchange=True)

    def answer(self, sender: str) -> None:
        """
        Answer an exchange.

        :param sender: id of the host that began it
        """
        self._send([sender], answer=True)

    def _send_news(self, count: int) -> None:
        # Those next in the ranking would read the store if they missed it.
        first = self._ranking.successors[:NEXT_READERS]
        others = [name for name in self._sample(count) if name not in first]
        self._send([*first, *others][:count])
        self._refresh_pending = False

    def _sample(self, count: int) -> list[str]:
        others = self._ranking.others
        return self._rng.sample(others, min(count, len(others)))

    def _send(
        self,
        receivers: Iterable[str],
        *,
        exchange: bool = False,
        answer: bool = False,
    ) -> None:
        message = DirectoryMarks(
            marks=self._make_marks(), exchange=exchange, answer=answer
        )
        try:
            self._bus.multicast(receivers, message)
        except Exception as exc:
            # The next exchange sends the marks again.
            log.error("directory_marks_not_sent", cause=repr(exc))
