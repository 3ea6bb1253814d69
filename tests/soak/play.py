"""Plays a plan with real host processes, and judges what callers and upstreams saw."""

import asyncio
import random
import signal
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.host_processes import (
    Answer,
    Callers,
    DoorState,
    FleetStore,
    HostProcess,
    QueueingUpstream,
    start_hosts,
)
from standins.host_processes.site import ZONES
from tests.soak.operator import SERVICES, Operator
from tests.soak.plan import Plan

__all__ = ["Verdict", "play"]

BOUND_S = 2.0  # of changes and of leaves
STABLE_S = 3.0
GRACE_S = 6.0
REUSE_AFTER_S = 2.0
START_TIMEOUT_S = 60.0
PROBE_AFTER_S = 2.05
ARCHIVE_SHARE = 0.4
LOOP_CHECK_S = 0.05
MAX_LOOP_DELAY_S = 0.25


@dataclass(slots=True, kw_only=True)
class Verdict:
    """
    Broken rules of a run, and how much of it was judged.

    ``stalls`` counts how often this process itself stood still; what it saw then, and
    until hosts are judged again, is left out. ``statuses`` counts answers by status, 0
    for none, and ``dropped`` those of requests whose connection a host closed while an
    upstream was at work.
    """

    requests: int = 0
    served: int = 0
    judged: int = 0
    changes: int = 0
    leaves: int = 0
    late_runs: int = 0
    stalls: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    dropped: dict[int, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)


class Fleet:
    """
    Hosts, store, upstreams, operator and callers of one run.

    :param plan: what is played
    :param rng: chooses hosts, upstreams and times
    :param folder: folder of settings and logs
    """

    def __init__(self, *, plan: Plan, rng: random.Random, folder: Path) -> None:
        self.plan = plan
        self.store = FleetStore()
        self.store.tells_era = plan.tells_era
        self.operator = Operator(store=self.store, rng=rng, accounts=plan.accounts)
        self.callers = Callers(rng=rng)
        self.hosts: list[HostProcess] = []
        self.upstreams: list[QueueingUpstream] = []
        self.runs: list[tuple[float, str, QueueingUpstream]] = []
        self.outages: list[list[float]] = []
        self.stalls: list[list[float]] = []
        self._rng = rng
        self._folder = folder
        self._numbers = iter(range(1_000_000))
        self._tasks: set[asyncio.Task[None]] = set()
        self._free: list[tuple[float, int]] = []

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until the end of the run."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        plan = self.plan
        for number in range(plan.upstreams):
            archive = number < plan.upstreams * ARCHIVE_SHARE
            await self.add_upstream(SERVICES[archive], ZONES[number % len(ZONES)])
        self.hosts = await start_hosts(
            count=plan.hosts, store=self.store, folder=self._folder
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(host.ready for host in self.hosts):
                await asyncio.sleep(0.1)

    async def add_upstream(self, service: str, zone: str) -> None:
        rng, work_s, spread = self._rng, self.plan.work_s, self.plan.work_spread
        upstream = QueueingUpstream(
            name=f"i-{next(self._numbers)}",
            service=service,
            zone=zone,
            store=self.store,
            work_s=lambda: rng.uniform(1 - spread, 1 + spread) * work_s,
            on_run=lambda *run: self.runs.append(run),
        )
        port = 0
        if self._free and time.monotonic() - self._free[0][0] > REUSE_AFTER_S:
            port = self._free.pop(0)[1]
        await self.store.wait_available()
        try:
            await upstream.start(port)
        except OSError:
            await upstream.start()
        self.upstreams.append(upstream)

    async def replace(self) -> None:
        """Let one upstream after the other leave, and add another one for it."""
        while True:
            await asyncio.sleep(self.plan.replace_gap_s)
            staying = [item for item in self.upstreams if item.left_s is None]
            upstream = self._rng.choice(staying)
            self.spawn(self._end(upstream))
            await self.add_upstream(upstream.service, upstream.zone)

    async def _end(self, upstream: QueueingUpstream) -> None:
        await upstream.leave(
            silently=self._rng.random() < 0.3, served_s=self._rng.uniform(2.2, 6.0)
        )
        self._free.append((time.monotonic(), upstream.port))

    async def change(self) -> None:
        """Change the configuration, and ask all hosts for it once it is due."""
        while True:
            await asyncio.sleep(self.plan.change_gap_s)
            for _ in range(self.plan.burst):
                await self.store.wait_available()
                changed = self.operator.change()
                self.spawn(self._probe(changed[:1]))
                await asyncio.sleep(1.0 / self.plan.burst if self.plan.burst > 1 else 0)

    async def _probe(self, paths: list[str]) -> None:
        await asyncio.sleep(PROBE_AFTER_S)
        hosts = [host for host in self.hosts if not host.ended]
        for path in paths:
            await asyncio.gather(
                *(
                    self.callers.send(
                        host, f"{path}probe", key=self.operator.choose_key()
                    )
                    for host in hosts
                )
            )

    async def send(self) -> None:
        """Send requests at a steady rate to hosts in rotation."""
        started_s, number = time.monotonic(), 0
        while True:
            number += 1
            due_s = started_s + number / self.plan.per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            hosts = [host for host in self.hosts if host.ready]
            if hosts:
                path = self.operator.choose()
                host = self._rng.choice(hosts)
                self.spawn(self._send(host, f"{path}x{number}"))

    async def _send(self, host: HostProcess, path: str) -> None:
        await self.callers.send(host, path, key=self.operator.choose_key())

    async def watch_loop(self) -> None:
        """Record when this process, which plays everyone else, stood still."""
        while True:
            begun_s = time.monotonic()
            await asyncio.sleep(LOOP_CHECK_S)
            ended_s = time.monotonic()
            if ended_s - begun_s > LOOP_CHECK_S + MAX_LOOP_DELAY_S:
                self.stalls.append([begun_s, ended_s])

    async def disturb(self, kind: str) -> None:
        """Cause one kind of trouble again and again."""
        while True:
            await asyncio.sleep(self.plan.trouble_gap_s * self._rng.uniform(0.5, 1.5))
            if kind in ("away", "rewind"):
                await self._stop_store(rewinds=kind == "rewind")
                continue
            running = [host for host in self.hosts if not host.ended]
            calm = [host for host in running if not self._disturbed(host)]
            if len(calm) <= len(running) // 2:
                continue
            host = self._rng.choice(calm)
            host.begin_trouble()
            self.spawn(self._disturb_host(kind, host))

    def _disturbed(self, host: HostProcess) -> bool:
        return bool(host.troubles) and host.troubles[-1][1] > time.monotonic()

    async def _disturb_host(self, kind: str, host: HostProcess) -> None:
        rng = self._rng
        if kind == "stop":
            host.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            host.send_signal(signal.SIGCONT)
        elif kind == "kill":
            host.send_signal(signal.SIGKILL)
            await host.wait()
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            await host.start()
        elif kind == "term":
            await self._terminate(host)
            await host.start()
        elif kind == "remove":
            if sum(not item.ended for item in self.hosts) > self.plan.hosts * 2 // 3:
                await self._terminate(host)
                await host.kill()
                return
        else:
            door = self.store.doors[host.name]
            await door.set_state(rng.choice((DoorState.SILENT, DoorState.REFUSING)))
            await asyncio.sleep(rng.uniform(1.0, 6.0))
            await self.store.wait_available()
            await door.set_state(DoorState.OPEN)
        host.end_trouble()

    async def _terminate(self, host: HostProcess) -> None:
        host.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(host.wait(), GRACE_S)
        except TimeoutError:
            host.send_signal(signal.SIGKILL)
            await host.wait()

    async def _stop_store(self, *, rewinds: bool) -> None:
        states = {name: door.state for name, door in self.store.doors.items()}
        self.outages.append([time.monotonic(), float("inf")])
        await self.store.set_available(False)
        await asyncio.sleep(self._rng.choice((0.5, 1.0, 2.0, 4.0)))
        if rewinds:
            self.store.restore(self.plan.rewind_s)
        await self.store.set_available(True)
        if rewinds:
            self.spawn(self._write_again())
        self.outages[-1][1] = time.monotonic()
        for name, state in states.items():
            if state is not DoorState.OPEN and self._is_ignored(name):
                await self.store.doors[name].set_state(state)
        await asyncio.sleep(STABLE_S + self._rng.uniform(0.0, 4.0))

    async def _write_again(self) -> None:
        """Write what the operator and the upstreams had written, as they notice."""
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await self.store.wait_available()
        self.operator.write_again()
        for upstream in self.upstreams:
            upstream.write_again()

    def _is_ignored(self, name: str) -> bool:
        return any(host.name == name and self._disturbed(host) for host in self.hosts)

    async def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            await host.kill()
        self.callers.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.close()

    def judge(self) -> Verdict:
        """Judge all answers and runs."""
        answers = {answer.request_id: answer for answer in self.callers.answers}
        verdict = Verdict(
            requests=len(answers),
            changes=self.operator.changes,
            stalls=len(self.stalls),
            leaves=sum(item.left_s is not None for item in self.upstreams),
        )
        for answer in answers.values():
            verdict.served += answer.status == 200
            count = verdict.statuses.get(answer.status, 0)
            verdict.statuses[answer.status] = count + 1
            if not answer.ended_s or not self._in_touch(answer):
                continue
            verdict.judged += 1
            fault = self.operator.find_fault(answer, BOUND_S)
            if fault is not None:
                verdict.broken.append(self._describe(fault, answer))
        for request_id in {name for item in self.upstreams for name in item.dropped}:
            status = answers[request_id].status
            verdict.dropped[status] = verdict.dropped.get(status, 0) + 1
        for at_s, request_id, upstream in self.runs:
            answer = answers.get(request_id)
            if answer is None or upstream.left_s is None:
                continue
            late_s = at_s - upstream.left_s
            if late_s > BOUND_S:
                verdict.late_runs += 1
                if self._in_touch(answer):
                    fault = (
                        f"DRAIN: {upstream.name} reached {late_s:.2f} s after its leave"
                    )
                    verdict.broken.append(self._describe(fault, answer))
        return verdict

    def _in_touch(self, answer: Answer) -> bool:
        since_s = answer.sent_s - STABLE_S
        until_s = answer.ended_s or time.monotonic()
        calm = all(
            end < since_s or begin > until_s
            for begin, end in (*self.outages, *self.stalls)
        )
        return calm and answer.host.in_touch(since_s, until_s)

    def _describe(self, fault: str, answer: Answer) -> str:
        kept = "kept" if answer.reused else "new"
        return (
            f"{fault} ({answer.request_id} at {answer.host.name}, {kept} connection,"
            f" sent {answer.sent_s:.3f}, status {answer.status})"
        )


async def play(plan: Plan, seed: int, folder: Path) -> Verdict:
    """
    Play a plan.

    :param plan: what is played
    :param seed: chooses hosts, upstreams and times
    :param folder: folder of settings and logs
    :return: the verdict
    """
    fleet = Fleet(plan=plan, rng=random.Random(seed), folder=folder)
    try:
        await fleet.start()
        works = (
            fleet.send(),
            fleet.replace(),
            fleet.change(),
            fleet.store.keep_copies(),
            fleet.watch_loop(),
        )
        for work in works:
            fleet.spawn(work)
        for kind in plan.troubles:
            fleet.spawn(fleet.disturb(kind))
        await asyncio.sleep(plan.seconds)
        return fleet.judge()
    finally:
        await fleet.stop()
