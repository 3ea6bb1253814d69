"""Stand-in for the platform's object API, with faults that are set over HTTP."""

import argparse
import asyncio
import json
from dataclasses import asdict
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from mangohatch.clock import Clock, SystemClock
from mangohatch.errors import RevisionCompacted, StoreConflict
from mangohatch.store.base import StoredObject, WatchEvent
from standins.objects import ObjectTable, StoreFaults

__all__ = ["make_object_api"]

ROLE_HEADER = "X-Caller-Role"
KEEP_ALIVE_INTERVAL_MS = 1000.0
WATCH_POLL_MS = 10.0
MAX_VALUE_BYTES = 1024 * 1024
WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0
MS_PER_S = 1000.0


class RateLimit:
    """
    Token bucket for calls.

    The bucket holds at most ``per_second`` tokens, so after a pause of one second
    this number of calls may arrive together.

    :param per_second: sustained rate in calls per second
    :param clock: clock that refills the bucket
    """

    def __init__(self, *, per_second: float, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._available = per_second
        self._updated_ms = clock.now_ms()

    def take(self) -> bool:
        """
        Take a token for a call.

        :return: whether the call is within the limit
        """
        now_ms = self._clock.now_ms()
        available = (
            self._available + (now_ms - self._updated_ms) / MS_PER_S * self._per_second
        )
        self._available = min(available, self._per_second)
        self._updated_ms = now_ms
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def item_json(item: StoredObject) -> dict[str, Any]:
    """
    Convert an object to JSON.

    :param item: the object
    :return: fields of the JSON object
    """
    return {
        "kind": item.kind,
        "name": item.name,
        "revision": item.revision,
        "value": item.value,
    }


def event_line(event: WatchEvent) -> str:
    """
    Convert a watch event to a line of JSON.

    :param event: a change or a keep-alive event
    :return: a JSON document with a line feed
    """
    item = item_json(event.item) if event.item else None
    fields = {"item": item, "deleted": event.deleted, "revision": event.revision}
    return json.dumps(fields) + "\n"


class StoreHandler(RequestHandler):
    """Base class of the store handlers: counters, faults and rate limits."""

    @property
    def objects(self) -> ObjectTable:
        """Object table that the handlers serve."""
        return self.application.settings["objects"]

    @property
    def faults(self) -> StoreFaults:
        """Active faults."""
        return self.objects.faults

    async def admit(self, call: str) -> bool:
        """
        Count a call, then apply delay, outage and rate limit before it takes effect.

        :param call: kind of call
        :return: False when the call must not be executed, because it exceeds the rate
            limit or its connection was closed
        """
        role = self.request.headers.get(ROLE_HEADER, "")
        self.objects.calls[(role, call)] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.outage:
            self.close_connection()
            return False
        limit = "writes" if call in ("put", "delete") else "reads"
        if not self.application.settings[limit].take():
            self.set_status(429)
            self.set_header("Retry-After", "1")
            return False
        return True

    def close_connection(self) -> None:
        """Close the connection without a response."""
        self.detach().close()

    def expected_revision(self) -> int | None:
        """
        Read the precondition of a write.

        :return: the expected revision; None when the object must not exist
        """
        text = self.get_query_argument("expected", "")
        return int(text) if text else None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.finish(json.dumps({"status": status_code}))


class ObjectHandler(StoreHandler):
    """Reads, writes and deletes one object."""

    async def get(self, kind: str, name: str) -> None:
        if not await self.admit("get"):
            return
        item = self.objects.get(kind, name)
        if item is None:
            self.set_status(404)
            return
        self.write(item_json(item))

    async def put(self, kind: str, name: str) -> None:
        if not await self.admit("put"):
            return
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            return
        if self.faults.refused_writes:
            self.faults.refused_writes -= 1
            self.close_connection()
            return
        value = json.loads(self.request.body)
        try:
            item = self.objects.put(kind, name, value, self.expected_revision())
        except StoreConflict:
            self.set_status(409)
            return
        if self._drop_response():
            return
        self.write(item_json(item))

    async def delete(self, kind: str, name: str) -> None:
        if not await self.admit("delete"):
            return
        try:
            self.objects.delete(kind, name, self.expected_revision() or 0)
        except StoreConflict:
            self.set_status(409)
            return
        if not self._drop_response():
            self.set_status(204)

    def _drop_response(self) -> bool:
        if not self.faults.lost_answers:
            return False
        self.faults.lost_answers -= 1
        self.close_connection()
        return True


class KindHandler(StoreHandler):
    """Lists all objects of a kind."""

    async def get(self, kind: str) -> None:
        if not await self.admit("list"):
            return
        listing = self.objects.list_kind(kind)
        items = [item_json(item) for item in listing.items]
        self.write({"items": items, "revision": listing.revision})


class WatchHandler(StoreHandler):
    """Streams the changes of a kind as JSON lines, with keep-alive events."""

    async def get(self, kind: str) -> None:
        if not await self.admit("watch"):
            return
        since = int(self.get_query_argument("since", "0"))
        try:
            self.objects.changes_since(kind, since)
        except RevisionCompacted:
            self.set_status(410)
            return
        self.set_header("Content-Type", "application/json-lines")
        await self.flush()
        try:
            await self._stream_changes(kind, since)
        except StreamClosedError:
            return

    async def _stream_changes(self, kind: str, since: int) -> None:
        idle_ms = KEEP_ALIVE_INTERVAL_MS
        while not self.faults.outage:
            silent = self.faults.silent_watches
            changes = [] if silent else self.objects.changes_since(kind, since)
            for event in changes:
                since = event.revision
                self.write(event_line(event))
            idle_ms = 0.0 if changes else idle_ms + WATCH_POLL_MS
            if idle_ms >= KEEP_ALIVE_INTERVAL_MS and not silent:
                idle_ms = 0.0
                self.write(
                    event_line(WatchEvent(item=None, deleted=False, revision=since))
                )
            await self.flush()
            await asyncio.sleep(WATCH_POLL_MS / MS_PER_S)
        self.close_connection()


class FaultsHandler(RequestHandler):
    """Serves and sets the faults."""

    def get(self) -> None:
        self.write(asdict(self.application.settings["objects"].faults))

    def put(self) -> None:
        faults = self.application.settings["objects"].faults
        for name, value in json.loads(self.request.body).items():
            setattr(faults, name, value)
        self.write(asdict(faults))


class CallsHandler(RequestHandler):
    """Serves the number of calls by caller role and kind of call."""

    def get(self) -> None:
        calls = self.application.settings["objects"].calls
        self.write(
            {f"{role}/{call}": count for (role, call), count in sorted(calls.items())}
        )


def make_object_api(
    objects: ObjectTable | None = None,
    *,
    writes_per_second: float = WRITES_PER_SECOND,
    reads_per_second: float = READS_PER_SECOND,
) -> Application:
    """
    Build the application of an object API.

    :param objects: objects to serve; an empty table without one
    :param writes_per_second: rate limit of writes in calls per second
    :param reads_per_second: rate limit of reads in calls per second
    :return: the application
    """
    clock = SystemClock()
    return Application(
        [
            (r"/objects/([^/]+)/([^/]+)", ObjectHandler),
            (r"/objects/([^/]+)", KindHandler),
            (r"/watch/([^/]+)", WatchHandler),
            (r"/faults", FaultsHandler),
            (r"/calls", CallsHandler),
        ],
        objects=objects or ObjectTable(),
        writes=RateLimit(per_second=writes_per_second, clock=clock),
        reads=RateLimit(per_second=reads_per_second, clock=clock),
        log_function=lambda handler: None,
    )


async def serve(port: int) -> None:
    """
    Serve until cancelled.

    :param port: TCP port on loopback
    """
    make_object_api().listen(port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(parser.parse_args().port))
