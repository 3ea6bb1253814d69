"""An event loop in virtual time in which single hosts can be paused or killed."""

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
    """The virtual time of a loop; hosts may disagree on the wall clock."""

    def __init__(self, *, loop: "VirtualLoop", wall_offset_ms: float = 0.0) -> None:
        self._loop = loop
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> float:
        return self._loop.time() * MS_PER_S

    def wall_ms(self) -> float:
        return self.now_ms() + self._wall_offset_ms


class DeferredCall:
    """A callback with its handle, which may be cancelled while it is held back."""

    __slots__ = ("args", "callback", "context", "handle")

    def __init__(
        self, *, callback: Callable[..., Any], args: tuple[Any, ...], context: Context
    ) -> None:
        self.callback = callback
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Call the callback unless its handle was cancelled."""
        if self.handle is None or not self.handle.cancelled():
            self.context.run(self.callback, *self.args)


class VirtualTimeSelector(selectors.DefaultSelector):
    """Moves virtual time forward instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """
        Return at once after moving the time by the timeout.

        :param timeout: seconds until the next timer; None when there is none
        :return: always empty
        :raises RuntimeError: when nothing can happen any more
        """
        if timeout is None:
            raise RuntimeError("the virtual loop waits for nothing")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """
    Runs all hosts of a test in one thread and in virtual time.

    Callbacks belong to the host in whose context they were scheduled. Those of a
    paused host are held back until it resumes, those of a killed one until shutdown.
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
        Start a task that belongs to a host, as do the tasks that it starts.

        :param host: id that can be paused and killed
        :param coro: the coroutine
        :return: the task
        """
        return self.create_task(coro, context=self.context(host))

    def context(self, host: str) -> Context:
        """
        Make a context whose callbacks belong to a host.

        :param host: the host
        :return: the context
        """
        context = copy_context()
        context.run(CURRENT_HOST.set, host)
        return context

    def pause(self, host: str) -> None:
        """
        Stop a host between two steps, as a stopped process is.

        :param host: the host
        """
        self._paused.setdefault(host, [])

    def resume(self, host: str) -> None:
        """
        Let a paused host go on.

        :param host: the host
        """
        if host in self._killed:
            return
        for call in self._paused.pop(host, []):
            super().call_soon(self._run_or_hold, call)

    def kill(self, host: str) -> None:
        """
        End a host without notice.

        :param host: the host; its id cannot be used again
        """
        self._killed.add(host)
        self.pause(host)

    def is_stopped(self, host: str) -> bool:
        """
        Tell whether a host is paused or killed.

        :param host: the host
        :return: whether none of its code runs
        """
        return host in self._paused

    def run_for(self, duration_ms: float) -> None:
        """
        Let virtual time pass.

        :param duration_ms: milliseconds
        """
        self.run_until_complete(asyncio.sleep(duration_ms / MS_PER_S))

    def shutdown(self) -> None:
        """Cancel every task, those of stopped hosts too, and close the loop."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self._killed.clear()
            for host in list(self._paused):
                self.resume(host)
            self.run_until_complete(asyncio.wait(tasks, timeout=1.0))
        self.run_until_complete(self.shutdown_asyncgens())
        self.close()
