"""Questions for the load of upstreams over HTTP, on connections of their own."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.clock import Clock
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import RequestError
from mangohatch.probing import LoadProbe, ProbeResult
from mangohatch.upstream.connection import (
    DiscardingSink,
    ResponseHead,
    UpstreamConnection,
)

__all__ = ["HttpLoadProbe", "ReadProbe"]

PROBE_TIMEOUT_S = 0.25  # an answer that takes longer is older than the next question's
MAX_IDLE_MS = 3_000.0  # an owner asks more often; a longer pause means it was away

ReadProbe = Callable[[ResponseHead], tuple[UpstreamLoad | None, str]]


class HttpLoadProbe(LoadProbe):
    """
    Sends a GET for each question and keeps the connection.

    :param clock: source of time
    :param read: takes load and instance out of an answer
    """

    def __init__(self, *, clock: Clock, read: ReadProbe) -> None:
        self._clock = clock
        self._read = read
        self._conns: dict[int, UpstreamConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0

    def send(
        self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._run(row, path, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def retain(self, rows: list[UpstreamRow]) -> None:
        wanted = {id(row) for row in rows}
        for key in [key for key in self._conns if key not in wanted]:
            self._conns.pop(key).close()

    def close(self) -> None:
        """Close all connections."""
        self.retain([])

    async def _run(
        self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]
    ) -> None:
        load, instance = None, ""
        conn = self._acquire(row)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                load, instance = await self._exchange(conn, path)
        except (RequestError, TimeoutError):
            # The report grows old instead; placement trusts it less with time.
            conn.close()
        if conn.closed:
            self._conns.pop(id(row), None)
        # The upstream made its report some time after the question.
        done(ProbeResult(load=load, measured_ms=conn.sent_ms, instance=instance))

    def _acquire(self, row: UpstreamRow) -> UpstreamConnection:
        conn = self._conns.get(id(row))
        if conn is not None:
            idle_ms = self._clock.now_ms() - conn.last_read_ms
            if not conn.closed and conn.is_clean() and idle_ms < MAX_IDLE_MS:
                return conn
            conn.close()
        self.connections += 1
        conn = UpstreamConnection(upstream=row, clock=self._clock)
        self._conns[id(row)] = conn
        return conn

    async def _exchange(
        self, conn: UpstreamConnection, path: str
    ) -> tuple[UpstreamLoad | None, str]:
        if not conn.connected:
            await conn.connect()
        upstream = conn.upstream
        headers = HTTPHeaders({"Host": f"{upstream.address}:{upstream.port}"})
        conn.send_head(RequestStartLine("GET", path, "HTTP/1.1"), headers, None)
        head = await conn.read_head()
        result = self._read(head)
        if not await conn.read_body(head, DiscardingSink()):
            conn.close()
        return result
