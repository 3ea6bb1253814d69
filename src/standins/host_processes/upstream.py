"""Stand-in for an upstream with slots and a queue, which registers itself."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from standins.host_processes.http import Message, format_message, read_message
from standins.host_processes.site import HEALTH_PATH
from standins.host_processes.store import FleetStore

__all__ = ["QueueingUpstream", "Run"]

LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 1.5
SIGNATURE = "Upstream-Signature"

Run = tuple[float, str, "QueueingUpstream"]


class QueueingUpstream:
    """
    Runs two requests at a time and queues four, and drops those whose caller leaves.

    :param name: id of the upstream
    :param service: name of its service
    :param zone: availability zone
    :param store: where it registers
    :param work_s: returns how long the next request takes, in seconds
    :param on_run: called with the time of arrival, the request's id and this upstream
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: FleetStore,
        work_s: Callable[[], float],
        on_run: Callable[[float, str, "QueueingUpstream"], None],
        slots: int = 2,
        queue: int = 4,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = 0
        self.left_s: float | None = None
        self.dropped: list[str] = []
        self._store = store
        self._work_s = work_s
        self._on_run = on_run
        self._slots_n = slots
        self._slots = asyncio.Semaphore(slots)
        self._queue = queue
        self._waiting = 0
        self._running = 0
        self._state = "ready"
        self._sequence = 0
        self._registered = True
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """
        Accept requests and register.

        :param port: TCP port on loopback, a free one if 0
        """
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._register())

    async def leave(self, *, silently: bool, served_s: float) -> None:
        """
        Announce the end, serve on for some time, and end.

        :param silently: whether the entry is removed without being ``draining`` first
        :param served_s: time between the announcement and the end in seconds
        """
        await self._store.wait_available()
        assert self._heartbeats is not None
        if silently:
            self._heartbeats.cancel()
            self._remove()
        else:
            self._state = "draining"
            self._put()
        self.left_s = time.monotonic()
        await asyncio.sleep(served_s)
        self.stop()
        await self._store.wait_available()
        self._remove()

    def _remove(self) -> None:
        self._registered = False
        self._store.delete("servers", self.name)

    def stop(self) -> None:
        """End at once, and reset all connections."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    def write_again(self) -> None:
        """Write or remove the entry, which the store may have lost or brought back."""
        if self._registered:
            self._put()
        else:
            self._store.delete("servers", self.name)

    async def _register(self) -> None:
        while True:
            if self._store.available:
                self._put()
            await asyncio.sleep(HEARTBEAT_S)

    def _put(self) -> None:
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone}
        status = {"state": self._state, "sequence": self._sequence}
        entry: dict[str, Any] = {
            "address": f"{LOOPBACK}:{self.port}",
            "born": self._born,
            "info": info | {"slots": self._slots_n},
            "status": status | {"cold_remaining": "0ms"},
        }
        self._store.put("servers", self.name, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while await self._handle(await read_message(reader), reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        arrived_s = time.monotonic()
        request_id = request.fields.get("request-id", "")
        fields = {"Request-Id": request_id, "Upstream-Instance": self.name}
        if request.line.split(" ")[1] == HEALTH_PATH:
            status = 200 if self._state == "ready" else 503
            return await self._send(writer, status, fields)
        if request.fields.get("expected-instance", self.name) != self.name:
            return await self._send(writer, 421, fields)
        if self._waiting >= self._queue:
            return await self._send(writer, 503, fields | {"Not-Executed": "1"})
        self._on_run(arrived_s, request_id, self)
        self._waiting += 1
        work = asyncio.create_task(self._work())
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
        if not work.done():
            work.cancel()
            self.dropped.append(request_id)
            return False
        fields[SIGNATURE] = f"{self.name}.{request_id}"
        return await self._send(writer, 200, fields, self.service.encode())

    async def _work(self) -> None:
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self._work_s())
        finally:
            self._running -= 1
            self._slots.release()

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        body: bytes = b"",
    ) -> bool:
        load = f"{self._running},{self._waiting},{self._slots_n},100"
        fields = fields | {"Upstream-Load": load, "Content-Length": str(len(body))}
        writer.write(format_message(f"HTTP/1.1 {status} X", fields, body))
        await writer.drain()
        return True
