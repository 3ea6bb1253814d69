"""HTTP handlers of a stand-in upstream."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from standins.upstream.behaviour import Behaviour
from standins.upstream.content import (
    ByteRange,
    UnsatisfiableRange,
    answer_body,
    download_bytes,
    entity_tag,
    parse_range,
)
from standins.upstream.slots import QueueExpired, QueueFull

if TYPE_CHECKING:
    from standins.upstream.server import Upstream

__all__ = ["make_routes"]

CHUNK_BYTES = 32_768
DEFAULT_BODY_BYTES = 200
OUTCOME_HEADER = "X-Outcome"
NOT_RUN = "not_run"


class UpstreamHandler(RequestHandler):
    """Base class of all handlers; sends no Server header."""

    @property
    def upstream(self) -> "Upstream":
        """The upstream that serves the request."""
        return self.application.settings["upstream"]

    def set_default_headers(self) -> None:
        self.clear_header("Server")


class WorkHandler(UpstreamHandler):
    """Runs a request in a slot and then sends the response."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE")  # type: ignore
    _task: asyncio.Task[None] | None = None

    def compute_etag(self) -> None:
        return None

    async def prepare(self) -> None:
        self._task = asyncio.create_task(self._serve())
        try:
            await self._task
        except (asyncio.CancelledError, StreamClosedError):
            self._finished = True

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self) -> None:
        upstream = self.upstream
        behaviour = upstream.behaviour
        if upstream.refuses_work():
            self._refuse(503)
            return
        try:
            await upstream.slots.acquire(
                slots=behaviour.slots,
                queue_limit=behaviour.queue_limit,
                timeout_ms=self._deadline_ms(),
            )
        except QueueFull:
            self._refuse(503)
            return
        except QueueExpired:
            self._refuse(504)
            return
        upstream.record_load()
        try:
            if not await self._run():
                return
        finally:
            upstream.slots.release()
            upstream.record_load()
        await self._answer()

    async def _run(self) -> bool:
        upstream = self.upstream
        if upstream.behaviour.fail_status:
            self._set_load_headers()
            self.send_error(upstream.behaviour.fail_status)
            return False
        assert self.request.method is not None
        attempt = self.request.headers.get("X-Caller-Attempt", "")
        request_id = self.get_query_argument("id", "")
        upstream.ledger.record(request_id, self.request.method, attempt)
        if self.get_query_argument("crash", ""):
            upstream.crash()
            return False
        work_ms = float(self.get_query_argument("work_ms", "0"))
        if work_ms:
            await asyncio.sleep(upstream.duration_ms(work_ms) / 1000)
        return True

    async def _answer(self) -> None:
        download = self.get_query_argument("download", "")
        self._set_load_headers()
        if download:
            await self._download(int(download))
            return
        size = int(self.get_query_argument("size", str(DEFAULT_BODY_BYTES)))
        request_id = self.get_query_argument("id", "")
        if not request_id:
            self.finish(b"x" * size)
            return
        self.set_header("Content-Type", "application/json")
        name = self.upstream.name
        self.finish(answer_body(request_id, self.request.path, name, size))

    async def _download(self, size: int) -> None:
        path = self.request.path
        version = self.upstream.behaviour.content_version
        etag = entity_tag(path, size, version)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Accept-Ranges", "bytes")
        self.set_header("Etag", etag)
        try:
            span = self._select_range(size, etag)
        except UnsatisfiableRange:
            self.set_status(416)
            self.set_header("Content-Range", f"bytes */{size}")
            self.finish()
            return
        self.set_header("Content-Length", str(span.end - span.start))
        if self.request.method != "HEAD":
            rate = float(self.get_query_argument("rate", "0"))
            await self._send_range(path, version, span, rate)
        self.finish()

    def _select_range(self, size: int, etag: str) -> ByteRange:
        whole = ByteRange(start=0, end=size)
        condition = self.request.headers.get("If-Range")
        range_header = self.request.headers.get("Range")
        if range_header is None or condition not in (None, etag):
            return whole
        span = parse_range(range_header, size)
        if span is None:
            return whole
        self.set_status(206)
        last = span.end - 1
        self.set_header("Content-Range", f"bytes {span.start}-{last}/{size}")
        return span

    async def _send_range(
        self, path: str, version: int, span: ByteRange, rate: float
    ) -> None:
        for start in range(span.start, span.end, CHUNK_BYTES):
            end = min(start + CHUNK_BYTES, span.end)
            self.write(download_bytes(path, version, start, end))
            await self.flush()
            if rate:
                await asyncio.sleep((end - start) / rate)

    def _deadline_ms(self) -> float | None:
        value = self.request.headers.get("X-Deadline-Ms")
        return None if value is None else float(value)

    def _set_load_headers(self) -> None:
        self.set_header("X-Upstream-Load", str(self.upstream.slots.in_flight))
        if self.upstream.behaviour.draining:
            self.set_header("X-Upstream-State", "draining")

    def _refuse(self, status: int) -> None:
        self._set_load_headers()
        self.set_header(OUTCOME_HEADER, NOT_RUN)
        self.set_status(status)
        self.finish(b"")


class ReportHandler(UpstreamHandler):
    """Serves health checks and load probes."""

    def get(self) -> None:
        """Send state and load as the report mode determines."""
        report = self.upstream.report()
        state = "draining" if report.draining else "ok"
        document = {"state": state, "in_flight": report.in_flight}
        body = json.dumps(document).encode()
        self.upstream.ledger.measuring_calls += 1
        self.upstream.ledger.measuring_bytes += len(body)
        self.set_header("X-Upstream-Load", str(report.in_flight))
        if report.draining:
            self.set_header("X-Upstream-State", "draining")
        self.set_header("Content-Type", "application/json")
        self.finish(body)


class RunsHandler(UpstreamHandler):
    """Serves the counts of runs."""

    def get(self) -> None:
        """Send the ledger."""
        self.finish(self.upstream.ledger.as_json())


class ControlHandler(UpstreamHandler):
    """Changes the behaviour while the upstream runs."""

    def get(self) -> None:
        """Send the active behaviour."""
        self.finish(self.upstream.behaviour.model_dump(mode="json"))

    def put(self) -> None:
        """Change the given settings of the behaviour; reject invalid ones."""
        changes: dict[str, Any] = json.loads(self.request.body)
        merged = self.upstream.behaviour.model_dump() | changes
        try:
            self.upstream.set_behaviour(Behaviour.model_validate(merged))
        except ValidationError as exc:
            self.set_status(400)
            self.finish(str(exc))
            return
        self.get()

    async def post(self) -> None:
        """Perform one action: silence all other open connections, or crash."""
        match self.get_query_argument("action"):
            case "silence":
                stream = self.request.connection.stream  # type: ignore
                self.finish({"silenced": self.upstream.silence(keep=stream)})
            case "crash":
                await self.finish({"crashed": True})
                self.upstream.crash()
            case _:
                self.send_error(400)


def make_routes() -> list[tuple[str, type[RequestHandler]]]:
    """
    Build the routing table.

    :return: URL patterns with their handlers
    """
    return [
        (r"/health", ReportHandler),
        (r"/load", ReportHandler),
        (r"/runs", RunsHandler),
        (r"/control", ControlHandler),
        (r"/.*", WorkHandler),
    ]
