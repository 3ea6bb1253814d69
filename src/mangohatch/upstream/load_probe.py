"""Load probes of upstreams over HTTP, on dedicated connections."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.clock import Clock
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import HostCutOff, RequestError, UpstreamUnreachable
from mangohatch.loop_tasks import cancel_all
from mangohatch.probing import LoadProbe, ProbeResult
from mangohatch.upstream.connection import UpstreamConnection
from mangohatch.upstream.dialer import Dialer, Reuse
from mangohatch.upstream.response import ResponseHead

__all__ = ["HttpLoadProbe", "ReadProbe"]

PROBE_TIMEOUT_S = 0.25  # a later response is older than that of the next probe
# The host that owns the probes of an upstream sends them more often. A longer pause
# means that the host did not probe in between, so the connection is replaced.
MAX_IDLE_MS = 3_000.0

MAX_PROBE_BODY_BYTES = 16_384  # the report is in the head

ReadProbe = Callable[[ResponseHead], tuple[UpstreamStatement, str]]


class HttpLoadProbe(LoadProbe):
    """
    Sends a GET request for each probe and keeps the connection open.

    :param clock: source of time
    :param dialer: opens the connections
    :param read: reads load and instance from the head of a response
    """

    def __init__(self, *, clock: Clock, dialer: Dialer, read: ReadProbe) -> None:
        self._clock = clock
        self._dialer = dialer
        self._read = read
        self._conns: dict[int, UpstreamConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.connections = 0

    def send(
        self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]
    ) -> None:
        if self._closed:
            return  # by a timer that was set before
        # Acquired before the task runs, so that :meth:`retain` finds it in between.
        # Nothing would close a connection that is acquired for a row given up.
        conn = self._acquire(row)
        task = asyncio.get_running_loop().create_task(self._run(conn, path, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def retain(self, rows: list[UpstreamRow]) -> None:
        wanted = {id(row) for row in rows}
        for key in [key for key in self._conns if key not in wanted]:
            self._conns.pop(key).close()

    async def close(self) -> None:
        self._closed = True
        await super().close()
        await cancel_all(self._tasks)

    async def _run(
        self,
        conn: UpstreamConnection,
        path: str,
        done: Callable[[ProbeResult], None],
    ) -> None:
        statement, instance, refused = UpstreamStatement(), "", False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                statement, instance = await self._exchange(conn, path)
        except UpstreamUnreachable as exc:
            refused = not isinstance(exc, HostCutOff)
            conn.close()
        except (RequestError, TimeoutError):
            # Placement keeps the previous report, whose weight decreases with its age.
            conn.close()
        key = id(conn.upstream)
        if conn.closed and self._conns.get(key) is conn:
            del self._conns[key]
        # The send time is a lower bound for the time at which the report was made.
        done(
            ProbeResult(
                load=statement.load,
                leaving=statement.leaving,
                cold_ms=statement.cold_ms,
                measured_ms=conn.sent_ms,
                instance=instance,
                refused=refused,
            )
        )

    def _acquire(self, row: UpstreamRow) -> UpstreamConnection:
        conn = self._conns.get(id(row))
        if conn is not None:
            idle_ms = self._clock.now_ms() - conn.last_read_ms
            reuse = self._dialer.judge(row, conn.last_read_ms, conn.relay)
            if reuse is Reuse.USE and conn.is_clean() and idle_ms < MAX_IDLE_MS:
                return conn
            conn.close()
        self.connections += 1
        conn = UpstreamConnection(upstream=row, clock=self._clock, dialer=self._dialer)
        self._conns[id(row)] = conn
        return conn

    async def _exchange(
        self, conn: UpstreamConnection, path: str
    ) -> tuple[UpstreamStatement, str]:
        if not conn.connected:
            await conn.connect()
        upstream = conn.upstream
        headers = HTTPHeaders({"Host": f"{upstream.address}:{upstream.port}"})
        conn.send_head(RequestStartLine("GET", path, "HTTP/1.1"), headers, None)
        head = await conn.read_head()
        result = self._read(head)
        if not await conn.discard_body(head, max_bytes=MAX_PROBE_BODY_BYTES):
            conn.close()
        return result
