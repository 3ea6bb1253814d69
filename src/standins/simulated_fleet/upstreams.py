"""Simulated upstreams whose speed changes and that crash, and load probes of them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.core.call import Result
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.tables import UpstreamRow
from mangohatch.probing import LoadProbe, ProbeResult
from standins.virtual_loop import LoopClock, VirtualLoop

__all__ = ["SimulatedProbe", "SimulatedUpstream"]

SLOTS = 2
PERIOD_MS = 300.0
SLOW_SHARE = 0.25
SLOW_FACTOR = 4.0
PROBE_MS = 1.0  # round trip of a load probe
CRASH_MS = 60.0  # from the start of a run until it crashes its upstream
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """A request at an upstream; ``on_end`` receives its result."""

    on_end: Callable[[Result], None]
    ended: bool = False

    def end(self, result: Result) -> None:
        """
        End the run, once.

        :param result: result of the attempt as the host sees it
        """
        if not self.ended:
            self.ended = True
            self.on_end(result)


class SimulatedUpstream:
    """
    An upstream with two slots, whose speed is redrawn every 300 ms.

    ``limit_per_s`` is the limit that its answers name, in requests a second of all
    hosts together. ``leaving`` is whether its answers say that it leaves. It turns
    requests away until ``pauses_until_ms``, and asks for a pause of ``pause_ms``, of
    the rest of this time if None. ``arrivals`` lists when requests arrived, and from
    which hosts.
    It is cold until ``cold_until_ms``.

    :param name: name of the upstream
    :param clock: source of time
    :param rng: source of random numbers
    :param loop: event loop in virtual time
    :param on_crash: called when a request has crashed the upstream
    """

    def __init__(
        self,
        *,
        name: str,
        clock: LoopClock,
        rng: random.Random,
        loop: VirtualLoop,
        on_crash: Callable[["SimulatedUpstream"], None],
    ) -> None:
        self.name = name
        self.alive = True
        self.limit_per_s: float | None = None
        self.leaving = False
        self.pauses_until_ms = 0.0
        self.pause_ms: float | None = None
        self.cold_until_ms = 0.0
        self.arrivals: list[tuple[float, str]] = []
        self._clock = clock
        self._loop = loop
        self._on_crash = on_crash
        self._runs: set[Run] = set()
        self._seed = rng.random()
        self._phase_ms = rng.uniform(0.0, PERIOD_MS)
        self._free_at_ms = [0.0] * SLOTS
        self._starts_ms: list[float] = []

    def slowdown(self) -> float:
        """
        Return the current speed.

        :return: duration of work as a multiple of its typical duration
        """
        period = int((self._clock.now_ms() - self._phase_ms) // PERIOD_MS)
        is_slow = random.Random(f"{self._seed}/{period}").random() < SLOW_SHARE
        return SLOW_FACTOR if is_slow else 1.0

    def load(self) -> UpstreamLoad:
        """
        Return the load as the upstream reports it.

        :return: the load
        """
        now_ms = self._clock.now_ms()
        running = sum(free_ms > now_ms for free_ms in self._free_at_ms)
        self._starts_ms = [item for item in self._starts_ms if item > now_ms]
        return UpstreamLoad(
            running=running,
            waiting=len(self._starts_ms),
            slots=SLOTS,
            slowdown=self.slowdown(),
        )

    def cold_ms(self) -> float:
        """
        Return for how long the upstream remains cold.

        :return: milliseconds, 0 if it is warm
        """
        return max(0.0, self.cold_until_ms - self._clock.now_ms())

    def asked_pause_ms(self) -> float | None:
        """
        Return for how long the upstream wants no request of a host.

        :return: milliseconds, None if it takes requests
        """
        rest_ms = self.pauses_until_ms - self._clock.now_ms()
        if rest_ms <= 0.0:
            return None
        return rest_ms if self.pause_ms is None else self.pause_ms

    def start(self, work_ms: float) -> float:
        """
        Start a request on the slot that is free first.

        :param work_ms: work in milliseconds at the typical speed
        :return: milliseconds until the response
        """
        now_ms = self._clock.now_ms()
        slot = min(range(SLOTS), key=self._free_at_ms.__getitem__)
        start_ms = max(now_ms, self._free_at_ms[slot])
        if start_ms > now_ms:
            self._starts_ms.append(start_ms)
        self._free_at_ms[slot] = start_ms + work_ms * self.slowdown()
        return self._free_at_ms[slot] - now_ms

    def run(
        self,
        work_ms: float,
        on_end: Callable[[Result], None],
        *,
        host_id: str = "",
        crashes: bool = False,
        reset_after_ms: float | None = None,
    ) -> None:
        """
        Run a request.

        :param work_ms: work in milliseconds at the typical speed
        :param on_end: receives the result
        :param host_id: id of the host that sends the request
        :param crashes: whether the request crashes the upstream
        :param reset_after_ms: time until the connection is reset although the upstream
            lives on, None if it is not
        """
        run = Run(on_end=on_end)
        self.arrivals.append((self._clock.now_ms(), host_id))
        if not self.alive:
            self._call_later(PROBE_MS, lambda: run.end(Result.UNREACHABLE))
            return
        if self.asked_pause_ms() is not None:
            self._call_later(PROBE_MS, lambda: run.end(Result.REFUSED))
            return
        self._runs.add(run)
        duration_ms = self.start(work_ms)
        run_ms = work_ms * self.slowdown()
        if crashes:
            self._call_later(duration_ms - run_ms + CRASH_MS, self.crash)
        elif reset_after_ms is not None:
            delay_ms = min(reset_after_ms, duration_ms)
            self._call_later(delay_ms, lambda: self._end(run, Result.ABORTED))
        else:
            self._call_later(duration_ms, lambda: self._end(run, Result.OK))

    def crash(self) -> None:
        """Break all connections, and accept no more."""
        if not self.alive:
            return
        self.alive = False
        runs, self._runs = self._runs, set()
        for run in runs:
            run.end(Result.ABORTED)
        self._on_crash(self)

    def _end(self, run: Run, result: Result) -> None:
        self._runs.discard(run)
        run.end(result)

    def _call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        self._loop.call_later(delay_ms / MS_PER_S, function)


class SimulatedProbe(LoadProbe):
    """
    Reads the load of simulated upstreams.

    :param loop: event loop in virtual time
    :param clock: source of time
    :param upstreams: upstreams by name
    :param tells_cold: whether responses say for how long an upstream remains cold
    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        clock: LoopClock,
        upstreams: dict[str, SimulatedUpstream],
        tells_cold: bool = False,
    ) -> None:
        self._tells_cold = tells_cold
        self._loop = loop
        self._clock = clock
        self._upstreams = upstreams

    def send(
        self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]
    ) -> None:
        sent_ms = self._clock.now_ms()

        def answer() -> None:
            upstream = self._upstreams[row.name]
            if upstream.alive:
                load = upstream.load()
                done(
                    ProbeResult(
                        load=load,
                        measured_ms=sent_ms,
                        instance=row.name,
                        leaving=upstream.leaving,
                        cold_ms=upstream.cold_ms() if self._tells_cold else None,
                    )
                )
            else:
                done(ProbeResult(load=None, measured_ms=sent_ms, refused=True))

        self._loop.call_later(PROBE_MS / MS_PER_S, answer)

    def retain(self, rows: list[UpstreamRow]) -> None:
        return None
