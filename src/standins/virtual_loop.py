"""An event loop in virtual time in which single hosts can be paused or killed."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any

from mangohatch.clock import Clock

__all__ = ["LoopClock", "VirtualLoop"]

HOST: ContextVar[str] = ContextVar("host", default="")
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


class JumpSelector(selectors.DefaultSelector):
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
    paused host are held back until it resumes, those of a killed one are dropped.
    """

    def __init__(self) -> None:
        self._jump = JumpSelector()
        self._paused: dict[str, list[tuple[Callable[..., Any], tuple, Context]]] = {}
        self._killed: set[str] = set()
        super().__init__(self._jump)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self._jump.now_s

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        context = context or copy_context()
        return super().call_soon(
            self._guard, callback, args, context, context=copy_context()
        )

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        context = context or copy_context()
        return super().call_at(
            when, self._guard, callback, args, context, context=copy_context()
        )

    def _guard(
        self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context
    ) -> None:
        host = context.get(HOST, "")
        if host in self._killed:
            return
        if host in self._paused:
            self._paused[host].append((callback, args, context))
            return
        context.run(callback, *args)

    def spawn(self, host: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """
        Start a task that belongs to a host, as do the tasks that it starts.

        :param host: id that can be paused and killed
        :param work: the coroutine
        :return: the task
        """
        return self.create_task(work, context=self.context(host))

    def context(self, host: str) -> Context:
        """
        Make a context whose callbacks belong to a host.

        :param host: the host
        :return: the context
        """
        context = copy_context()
        context.run(HOST.set, host)
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
        for callback, args, context in self._paused.pop(host, []):
            self.call_soon(callback, *args, context=context)

    def kill(self, host: str) -> None:
        """
        End a host without notice.

        :param host: the host; its id cannot be used again
        """
        self._killed.add(host)
        self._paused.pop(host, None)

    def is_stopped(self, host: str) -> bool:
        """
        Tell whether a host is paused or killed.

        :param host: the host
        :return: whether none of its code runs
        """
        return host in self._paused or host in self._killed

    def run_for(self, duration_ms: float) -> None:
        """
        Let virtual time pass.

        :param duration_ms: milliseconds
        """
        self.run_until_complete(asyncio.sleep(duration_ms / MS_PER_S))

    def shutdown(self) -> None:
        """Cancel every task, those of stopped hosts too, and close the loop."""
        self._killed.clear()
        for host in list(self._paused):
            self.resume(host)
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.wait(tasks, timeout=1.0))
        self.run_until_complete(self.shutdown_asyncgens())
        self.close()
