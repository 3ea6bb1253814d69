"""Holds signals that arrive before a program can act on them."""

import asyncio
import signal
from collections.abc import Callable, Mapping
from types import FrameType

__all__ = ["HeldSignals", "held"]


class HeldSignals:
    """
    Records signals while the program is imported, and delivers them later.

    By default, a SIGHUP ends a process that has no handler yet, and a SIGTERM ends it
    with a failure.
    """

    def __init__(self) -> None:
        self._arrived: list[signal.Signals] = []

    def hold(self, *signums: signal.Signals) -> None:
        """
        Record signals from now on.

        :param signums: the signals
        """
        for signum in signums:
            signal.signal(signum, self._record)

    def _record(self, signum: int, frame: FrameType | None) -> None:
        self._arrived.append(signal.Signals(signum))

    def deliver(
        self,
        loop: asyncio.AbstractEventLoop,
        handlers: Mapping[signal.Signals, Callable[[], None]],
    ) -> None:
        """
        Handle signals in an event loop, and those that have arrived before.

        :param loop: the running loop
        :param handlers: handlers by signal
        """
        for signum, handler in handlers.items():
            loop.add_signal_handler(signum, handler)
        arrived, self._arrived = self._arrived, []
        for signum in arrived:
            if signum in handlers:
                handlers[signum]()


held = HeldSignals()
