"""Stand-in for the platform's store, with one address for each host."""

import asyncio
import contextlib
import json
import random
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Any
from urllib.parse import unquote_plus, urlsplit

from standins.host_processes.http import format_message, read_message

__all__ = ["DoorState", "FleetStore"]

LOOPBACK = "127.0.0.1"
ANSWER_S = 0.004
PAGE_SIZE = 500
PAGE_BYTES = 1_048_576
WATCH_POLL_S = 0.01
COPY_S = 0.2
MAX_COPIES = 200
ERA_FIELD = "Store-Era"
MS_PER_S = 1000.0


Objects = dict[str, dict[str, dict[str, Any]]]
Copy = tuple[float, int, Objects]


class DoorState(Enum):
    """How the store treats the calls that come to one of its addresses."""

    OPEN = auto()
    REFUSING = auto()
    SILENT = auto()


class Door:
    """One address of the store."""

    def __init__(self, *, store: "FleetStore") -> None:
        self.state = DoorState.OPEN
        self.port = 0
        self._store = store
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._never = asyncio.Event()

    async def set_state(self, state: DoorState) -> None:
        """Change how calls are treated; connections that are open are reset."""
        self.state = state
        for writer in list(self._open):
            writer.transport.abort()
        if state is DoorState.REFUSING:
            self.close()
        elif self._server is None:
            self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
            self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if self.state is DoorState.SILENT:
                    await self._never.wait()
                if self._store.loses_call():
                    return
                method, target, _ = request.line.split(" ")
                status, content = await self._store.answer(method, target)
                body = json.dumps(content).encode()
                fields = {"Content-Length": str(len(body))}
                if self._store.tells_era:
                    fields[ERA_FIELD] = str(self._store.era)
                writer.write(format_message(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()


class FleetStore:
    """
    Objects by kind and name, which hosts list and watch over addresses of theirs.

    Answers name the ``era`` if the store ``tells_era``. A share of the calls,
    ``lost_share``, gets no answer.

    :param page_size: most objects of a page
    :param page_bytes: size from which a page takes no further object
    :param decode: decodes the values in the query of a call
    """

    def __init__(
        self,
        *,
        page_size: int = PAGE_SIZE,
        page_bytes: int = PAGE_BYTES,
        decode: Callable[[str], str] = unquote_plus,
    ) -> None:
        self._page_size = page_size
        self._page_bytes = page_bytes
        self._decode = decode
        self._rng = random.Random(1)
        self.revision = 100
        self.available = True
        self.era = 0
        self.tells_era = False
        self.lost_share = 0.0
        self.doors: dict[str, Door] = {}
        self._objects: Objects = {}
        self._changed: dict[str, int] = {}
        self._copies: deque[Copy] = deque(maxlen=MAX_COPIES)

    async def open_door(self, host: str) -> Door:
        """
        Open the address of a host.

        :param host: name of the host
        :return: the door, with its port on loopback
        """
        self.doors[host] = door = Door(store=self)
        await door.set_state(DoorState.OPEN)
        return door

    async def set_available(self, available: bool) -> None:
        """
        Stop or start the store; while it is stopped, it refuses all connections.

        :param available: whether it serves calls and takes writes
        """
        self.available = available
        state = DoorState.OPEN if available else DoorState.REFUSING
        for door in self.doors.values():
            await door.set_state(state)

    def loses_call(self) -> bool:
        """
        Return whether the connection of a call ends without an answer.

        :return: the decision, drawn for each call
        """
        return self._rng.random() < self.lost_share

    async def wait_available(self) -> None:
        """Wait until the store takes writes."""
        while not self.available:
            await asyncio.sleep(WATCH_POLL_S)

    async def keep_copies(self) -> None:
        """Copy the content again and again, for :meth:`restore`, until cancelled."""
        while True:
            objects = {kind: dict(named) for kind, named in self._objects.items()}
            self._copies.append((time.monotonic(), self.revision, objects))
            await asyncio.sleep(COPY_S)

    def restore(self, age_s: float) -> None:
        """
        Return to the newest copy of some age; what was written since is lost.

        :param age_s: least age of the copy in seconds
        """
        until_s = time.monotonic() - age_s
        old = [copy for copy in self._copies if copy[0] <= until_s] or [self._copies[0]]
        _, self.revision, objects = old[-1]
        self._objects = {kind: dict(named) for kind, named in objects.items()}
        self._changed = dict.fromkeys(self._objects, self.revision)
        self._copies.clear()
        self.era += 1

    def close(self) -> None:
        """Close all addresses."""
        for door in self.doors.values():
            door.close()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """
        Write an object.

        :param kind: kind of object
        :param name: name of the object
        :param spec: content of the object
        """
        self._advance(kind)
        metadata = {"name": name, "revision": self.revision, "created": 1}
        content = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = content

    def delete(self, kind: str, name: str) -> None:
        """
        Delete an object, if it exists.

        :param kind: kind of object
        :param name: name of the object
        """
        if self._objects.get(kind, {}).pop(name, None) is not None:
            self._advance(kind)

    def _advance(self, kind: str) -> None:
        self.revision += 1
        self._changed[kind] = self.revision

    async def answer(self, method: str, target: str) -> tuple[int, dict[str, Any]]:
        """
        Answer a call of a host.

        :param method: HTTP method
        :param target: path and query
        :return: status and content of the response
        """
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(target)
        kind = parts.path.rpartition("/")[2]
        if method != "GET":
            return 405, {}
        pairs = (item.partition("=") for item in parts.query.split("&") if item)
        query = {name: self._decode(value) for name, _, value in pairs}
        if "watch" in query:
            if int(query["watch"]) > self.revision:
                return 410, {}
            await self._wait(kind, int(query["watch"]), float(query["wait_ms"]))
            return 200, {"events": [], "store_revision": self.revision}
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        page = self._select_page([objects[name] for name in names])
        return 200, {
            "items": page,
            "has_more": len(names) > len(page),
            "store_revision": self.revision,
        }

    def _select_page(self, objects: list[dict[str, Any]]) -> list[dict[str, Any]]:
        page: list[dict[str, Any]] = []
        size = 0
        for item in objects[: self._page_size]:
            size += len(json.dumps(item))
            if page and size > self._page_bytes:
                break
            page.append(item)
        return page

    async def _wait(self, kind: str, revision: int, wait_ms: float) -> None:
        ends = time.monotonic() + wait_ms / MS_PER_S
        with contextlib.suppress(asyncio.CancelledError):
            while self._changed.get(kind, 0) <= revision and time.monotonic() < ends:
                await asyncio.sleep(WATCH_POLL_S)
