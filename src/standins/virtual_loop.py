"""An event loop in virtual time on which individual hosts can be paused or killed."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any

from mangohatch.clock import Clock

__all__ = ["LoopClock", "VirtualLoop"]

CURRENT_HOST: ContextVar[str] = ContextVar("host", default="")
MS_PER_S = 1000.0


class LoopClock(Clock):
    """
    Clock that reads the virtual time of a loop.

    :param loop: the loop
    :param wall_offset_ms: offset of the wall clock in milliseconds, which simulates
        hosts whose wall clocks differ
    """

    def __init__(self, *, loop: "VirtualLoop", wall_offset_ms: float = 0.0) -> None:
        self._loop = loop
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> float:
        return self._loop.time() * MS_PER_S

    def wall_ms(self) -> float:
        return self.now_ms() + self._wall_offset_ms

    def step_wall(self, delta_ms: float) -> None:
        """
        Step the wall clock, which does not affect the monotonic time.

        :param delta_ms: milliseconds to add, negative for a step back
        """
        self._wall_offset_ms += delta_ms


class DeferredCall:
    """
    A callback that is held back while its host is paused.

    The handle is kept because the callback may be cancelled in the meantime.
    """

    __slots__ = ("args", "callback", "context", "handle")

    def __init__(
        self, *, callback: Callable[..., Any], args: tuple[Any, ...], context: Context
    ) -> None:
        self.callback = callback
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Run the callback unless its handle was cancelled."""
        if self.handle is None or not self.handle.cancelled():
            self.context.run(self.callback, *self.args)


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances virtual time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """
        Advance virtual time by the timeout and return immediately.

        :param timeout: seconds until the next timer; None without a timer
        :return: always an empty list
        :raises RuntimeError: when no timer is scheduled, so that the loop would block
        """
        if timeout is None:
            raise RuntimeError("the virtual loop has no timer to wait for")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """
    Runs all hosts of a test in one thread and in virtual time.

    A callback belongs to the host in whose context it was scheduled. Callbacks of a
    paused host are held back until the host resumes, those of a killed host until
    :meth:`shutdown`.
    """

    def __init__(self) -> None:
        self._virtual_selector = VirtualTimeSelector()
        self._paused: dict[str, list[DeferredCall]] = {}
        self._killed: set[str] = set()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self._virtual_selector.now_s

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        call = DeferredCall(
            callback=callback, args=args, context=context or copy_context()
        )
        call.handle = super().call_soon(self._run_or_hold, call)
        return call.handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        call = DeferredCall(
            callback=callback, args=args, context=context or copy_context()
        )
        handle = super().call_at(when, self._run_or_hold, call)
        call.handle = handle
        return handle

    def _run_or_hold(self, call: DeferredCall) -> None:
        held = self._paused.get(call.context.get(CURRENT_HOST, ""))
        if held is not None:
            held.append(call)
            return
        call.run()

    def spawn(self, host: str, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """
        Start a task of a host; tasks started by it belong to the same host.

        :param host: id of the host
        :param coro: coroutine to run
        :return: the task
        """
        return self.create_task(coro, context=self.context(host))

    def context(self, host: str) -> Context:
        """
        Create a context whose callbacks belong to a host.

        :param host: id of the host
        :return: the context
        """
        context = copy_context()
        context.run(CURRENT_HOST.set, host)
        return context

    def pause(self, host: str) -> None:
        """
        Pause a host between two callbacks, like a process stopped by SIGSTOP.

        :param host: id of the host
        """
        self._paused.setdefault(host, [])

    def resume(self, host: str) -> None:
        """
        Resume a paused host; a killed host stays stopped.

        :param host: id of the host
        """
        if host in self._killed:
            return
        for call in self._paused.pop(host, []):
            super().call_soon(self._run_or_hold, call)

    def kill(self, host: str) -> None:
        """
        Kill a host without a graceful shutdown.

        :param host: id of the host, which cannot be used again
        """
        self._killed.add(host)
        self.pause(host)

    def is_stopped(self, host: str) -> bool:
        """
        Return whether a host is paused or killed.

        :param host: id of the host
        :return: whether callbacks of the host are held back
        """
        return host in self._paused

    def run_for(self, duration_ms: float) -> None:
        """
        Run the loop for a period of virtual time.

        :param duration_ms: duration in milliseconds
        """
        self.run_until_complete(asyncio.sleep(duration_ms / MS_PER_S))

    def shutdown(self) -> None:
        """Cancel all tasks, including those of stopped hosts, and close the loop."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self._killed.clear()
            for host in list(self._paused):
                self.resume(host)
            self.run_until_complete(asyncio.wait(tasks, timeout=1.0))
        self.run_until_complete(self.shutdown_asyncgens())
        self.close()
