"""Connections to upstreams, through a peer where the direct path is lost."""

import asyncio
from collections.abc import Iterator
from typing import Any

from tornado.iostream import IOStream

from mangohatch.clock import Clock
from mangohatch.core.paths import PathTable, RelayChooser, RelayRefusal
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.upstream_path import ConnectFailure
from mangohatch.errors import HostCutOff, UpstreamUnreachable
from mangohatch.loop_tasks import cancel_all
from mangohatch.relay.client import RelayClient, RelayFailed
from mangohatch.upstream.dialer import Dialer, OpenedStream, Reuse, open_stream

__all__ = ["RelayDialer"]

# A direct connection takes a round trip. As in RFC 8305, the next way is tried while
# the one before it may still succeed.
NEXT_ATTEMPT_MS = 50.0
CHECK_TIMEOUT_MS = 200.0  # less than the interval of checks
# Peers that do not reach an upstream either, until it is considered down.
MAX_UNREACHABLE = 3
MS_PER_S = 1000.0

Attempt = asyncio.Task[OpenedStream]


class RelayDialer(Dialer):
    """
    Tries the direct path first, and peers when it fails or does not answer.

    While the direct path is lost, peers come first, and kept connections are used only
    if something has arrived on them since. What a host decides about a request, and
    all of its counts, stay where they are: the peer sees a connection only.

    :param paths: knows which direct paths are lost, and receives the results
    :param chooser: orders the peers
    :param client: opens connections through peers
    :param clock: source of time
    """

    def __init__(
        self,
        *,
        paths: PathTable,
        chooser: RelayChooser,
        client: RelayClient,
        clock: Clock,
    ) -> None:
        super().__init__(paths=paths)
        self._chooser = chooser
        self._client = client
        self._clock = clock
        self._checks: set[asyncio.Task[None]] = set()

    async def open(
        self,
        upstream: UpstreamRow,
        stream: IOStream,
        *,
        given_up: asyncio.Future[None] | None = None,
    ) -> OpenedStream:
        started_ms = self._clock.now_ms()
        lost = self.paths.is_lost(upstream)
        race = Race(given_up=given_up)
        try:
            if not lost:
                race.start(self._open_direct(upstream, stream))
            opened = await self._run_race(race, upstream, stream, lost=lost)
        finally:
            race.cancel()
        if opened.relay:
            stream.close()
            self._chooser.record_opened(opened.relay)
            if not lost:
                self.paths.record_detour(
                    upstream, since_ms=started_ms, relay=opened.relay
                )
        return opened

    @property
    def has_relays(self) -> bool:
        return self._chooser.in_use

    def judge(self, upstream: UpstreamRow, last_read_ms: float, relay: str) -> Reuse:
        lost_since_ms = self.paths.lost_since_ms(upstream)
        if relay:
            usable = lost_since_ms is not None and self._chooser.is_usable(relay)
            return Reuse.USE if usable else Reuse.CLOSE
        if lost_since_ms is None or last_read_ms > lost_since_ms:
            return Reuse.USE
        return Reuse.KEEP

    def relay_zone(self, relay: str) -> str:
        return self._chooser.zone_of(relay)

    def record_closed(self, relay: str) -> None:
        if relay:
            self._chooser.record_closed(relay)

    def tick(self, *, waiting: bool) -> None:
        """
        Try lost direct paths again, and suspected ones.

        :param waiting: whether requests wait for a response
        """
        for upstream in self.paths.due_checks(waiting=waiting):
            task = asyncio.get_running_loop().create_task(self._check(upstream))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    async def close(self) -> None:
        """End the checks in progress."""
        await cancel_all(self._checks)

    async def _check(self, upstream: UpstreamRow) -> None:
        stream = open_stream()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_MS / MS_PER_S):
                if self.paths.is_lost(upstream):
                    await self._open_directly(upstream, stream)
                else:
                    opened = await self.open(upstream, stream)
                    opened.stream.close()
                    self.record_closed(opened.relay)
        except TimeoutError:
            self.paths.record_failed(upstream, ConnectFailure.TIMED_OUT)
        except UpstreamUnreachable:
            return  # counted where it failed
        finally:
            stream.close()

    async def _open_direct(
        self, upstream: UpstreamRow, stream: IOStream
    ) -> OpenedStream:
        await self._open_directly(upstream, stream)
        return OpenedStream(stream=stream)

    async def _open_relayed(self, upstream: UpstreamRow, peer: str) -> OpenedStream:
        stream = await self._client.open(peer, upstream)
        return OpenedStream(stream=stream, relay=peer)

    async def _run_race(
        self, race: "Race", upstream: UpstreamRow, stream: IOStream, *, lost: bool
    ) -> OpenedStream:
        peers: Iterator[str] = iter(())
        if self.paths.allows_detour(upstream):
            peers = self._chooser.candidates()
        unreachable = 0
        failure: UpstreamUnreachable | None = None
        if lost:
            failure = HostCutOff(f"no peer reaches upstream {upstream.name}")
        while True:
            if not race.tasks or race.overdue:
                peer = next(peers, None)
                if peer is not None:
                    race.start(self._open_relayed(upstream, peer), peer=peer)
                elif not race.tasks:
                    assert failure is not None
                    raise failure
            ended = await race.wait(NEXT_ATTEMPT_MS / MS_PER_S)
            for late in race.late_peers():
                self._chooser.record_refused(late, None)
            for task, asked in ended:
                exc = task.exception()
                if exc is None:
                    return race.win(task)
                race.tasks.pop(task)
                if isinstance(exc, RelayFailed):
                    self._chooser.record_refused(asked, exc.refusal)
                    unreachable += exc.refusal is RelayRefusal.UNREACHABLE
                    if exc.refusal is RelayRefusal.EVACUATED:
                        peers = iter(())  # the others know it too, or soon will
                    if unreachable >= MAX_UNREACHABLE and self._is_down(upstream):
                        self.paths.record_detour_failed(upstream)
                        peers = iter(())
                elif isinstance(exc, UpstreamUnreachable):
                    failure = exc
                else:
                    raise exc
            if race.given_up:
                raise UpstreamUnreachable(f"{upstream.name} did not accept in time")

    def _is_down(self, upstream: UpstreamRow) -> bool:
        lost = self.paths.is_lost(upstream)
        return not lost and not self.paths.suspects_itself()


class Race:
    """
    Attempts of which the first to succeed counts.

    :param given_up: done when no attempt is needed any more; None if that never happens
    """

    def __init__(self, *, given_up: asyncio.Future[None] | None = None) -> None:
        self.tasks: dict[Attempt, str] = {}
        self.overdue = False
        self._given_up = given_up

    @property
    def given_up(self) -> bool:
        """Whether no attempt is needed any more."""
        return self._given_up is not None and self._given_up.done()

    def start(self, attempt, *, peer: str = "") -> None:
        """
        Start an attempt.

        :param attempt: coroutine that returns an opened stream
        :param peer: id of the peer that it passes, empty for none
        """
        self.tasks[asyncio.get_running_loop().create_task(attempt)] = peer

    async def wait(self, timeout_s: float) -> list[tuple[Attempt, str]]:
        """
        Wait for attempts to end, or for the race to be given up.

        :param timeout_s: longest time to wait, in seconds
        :return: the attempts that ended, with their peers; none if all take longer
        """
        waits: set[asyncio.Future[Any]] = {*self.tasks}
        if self._given_up is not None:
            waits.add(self._given_up)
        done, _ = await asyncio.wait(
            waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        self.overdue = not done
        return [(task, peer) for task, peer in self.tasks.items() if task in done]

    def win(self, task: Attempt) -> OpenedStream:
        """
        Take the result of an attempt; :meth:`cancel` closes those of all others.

        :param task: an attempt that succeeded
        :return: what it opened
        """
        del self.tasks[task]
        return task.result()

    def late_peers(self) -> list[str]:
        """
        List the peers that did not answer while :meth:`wait` waited.

        :return: host ids
        """
        if not self.overdue:
            return []
        return [peer for peer in self.tasks.values() if peer]

    def cancel(self) -> None:
        """
        Cancel the attempts that are left, and close what they opened.

        Nothing is awaited here: a caller that is cancelled meanwhile would lose the
        stream that has won, which would then stay open.
        """
        for task in self.tasks:
            task.cancel()
            task.add_done_callback(close_opened)


def close_opened(attempt: Attempt) -> None:
    """
    Close what an attempt opened that is not needed.

    :param attempt: an attempt that has ended
    """
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().stream.close()
