"""Injects failures into a site at fixed times."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mangohatch.admin.client import fetch_reply
from mangohatch.clock import Clock
from standins.caller import Balancer
from standins.fleet import EntryChild, Fleet, UpstreamAddress
from standins.scrape import is_ready

__all__ = ["FaultInjector", "InjectedFault"]

DRAIN_AT_MS = 3000.0
CRASH_AT_MS = 5000.0
SILENCE_AT_MS = 8000.0
REPLACE_AT_MS = 11_000.0
ORDER_AT_MS = 14_000.0
# Longer than the 2 s for which a draining upstream still accepts new work.
DRAIN_CHECK_DELAY_MS = 4000.0
READY_CHECK_INTERVAL_MS = 500.0
ORDERED_UPSTREAM_INDEX = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class InjectedFault:
    """A failure or operation that was injected into a site, and when."""

    at_ms: float
    site: str
    text: str


@dataclass(slots=True, kw_only=True)
class FaultInjector:
    """Injects failures into one site while it is under load."""

    fleet: Fleet
    balancer: Balancer
    clock: Clock
    injected_faults: list[InjectedFault] = field(default_factory=list)
    exit_status: int | None = None
    order_state: str = ""
    worked_after_drain: int = 0
    _totals_after_drain: list[tuple[UpstreamAddress, int]] = field(default_factory=list)
    _background: list[asyncio.Task[None]] = field(default_factory=list)

    async def run(self) -> None:
        """Inject each failure at its time and wait for background tasks."""
        started_ms = self.clock.now_ms()
        steps: tuple[tuple[float, Callable[[], Awaitable[str]]], ...] = (
            (DRAIN_AT_MS, self.drain),
            (CRASH_AT_MS, self.crash),
            (SILENCE_AT_MS, self.silence),
            (REPLACE_AT_MS, self.replace),
            (ORDER_AT_MS, self.order),
        )
        for at_ms, step in steps:
            wait_ms = started_ms + at_ms - self.clock.now_ms()
            await asyncio.sleep(max(0.0, wait_ms) / 1000)
            text = await step()
            site = self.fleet.site.name
            self.injected_faults.append(
                InjectedFault(at_ms=at_ms, site=site, text=text)
            )
        await asyncio.gather(*self._background)

    async def count_work_after_drain(self) -> None:
        """Count the runs that upstreams started after the drain check."""
        for upstream, total_after_drain in self._totals_after_drain:
            final_total = (await self.fleet.read_ledger(upstream))["total"]
            self.worked_after_drain += final_total - total_after_drain

    async def _record_drained(self, upstream: UpstreamAddress) -> None:
        await asyncio.sleep(DRAIN_CHECK_DELAY_MS / 1000)
        total = (await self.fleet.read_ledger(upstream))["total"]
        self._totals_after_drain.append((upstream, total))

    def _schedule_drain_check(self, upstream: UpstreamAddress) -> None:
        task = asyncio.create_task(self._record_drained(upstream))
        self._background.append(task)

    async def drain(self) -> str:
        """
        Drain an upstream.

        :return: description of the failure
        """
        upstream = self.fleet.upstreams[0]
        await self.fleet.control(upstream, draining=True)
        self._schedule_drain_check(upstream)
        return f"upstream {upstream.name} drains, refuses new work after 2 s"

    async def crash(self) -> str:
        """
        Crash an upstream, which restarts afterwards.

        :return: description of the failure
        """
        upstream = self.fleet.upstreams[1]
        await self.fleet.control(upstream, action="crash")
        return f"upstream {upstream.name} crashes, returns cold after 1 s"

    async def silence(self) -> str:
        """
        Silence the open connections of one upstream of each service.

        :return: description of the failure
        """
        desk = self.fleet.upstreams[2]
        archive = self.fleet.upstreams_of(self.fleet.site.archive.name)[0]
        for upstream in (desk, archive):
            await self.fleet.control(upstream, action="silence")
        return f"open connections of {desk.name} and {archive.name} go silent"

    async def replace(self) -> str:
        """
        Start a new entry host and stop an old one with SIGTERM.

        :return: description of the replacement
        """
        old = self.fleet.entries[0]
        new = await self.fleet.start_entry()
        self.balancer.add(new.entry)
        self._background.append(asyncio.create_task(self._retire(old)))
        return f"entry host {old.host_id} gets SIGTERM, {new.host_id} takes over"

    async def _retire(self, old: EntryChild) -> None:
        retire_task = asyncio.create_task(self.fleet.retire(old))
        while await is_ready(old.admin):
            await asyncio.sleep(READY_CHECK_INTERVAL_MS / 1000)
        self.balancer.remove(old.entry)
        self.exit_status = await retire_task

    async def order(self) -> str:
        """
        Order the drain of an upstream in the operators' language.

        :return: description of the order and of its state
        """
        upstream = self.fleet.upstreams[ORDERED_UPSTREAM_INDEX]
        sentence = f"drain upstream {upstream.name} of {upstream.service}"
        admin = self.fleet.entries[0].admin
        reply = await fetch_reply(f"{admin[0]}:{admin[1]}", sentence)
        self.order_state = reply.order.state if reply.order else "error"
        self._schedule_drain_check(upstream)
        return f'operator orders "{sentence}": {self.order_state}'
