"""State of a request from its arrival to the end of its response."""

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.claims import Answer, ClaimTicket
from mangohatch.core.call import Call, Decision, Grant
from mangohatch.core.hedging import HedgeRefusal
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.router import Router
from mangohatch.core.tables import UpstreamRow
from mangohatch.entry.body import RequestBody
from mangohatch.entry.sink import CallerSink
from mangohatch.errors import RequestError
from mangohatch.upstream.connection import UpstreamConnection

if TYPE_CHECKING:
    from mangohatch.entry.continuation import Continuation
    from mangohatch.entry.race import Race

__all__ = ["ActiveRequest"]


@dataclass(slots=True, kw_only=True, eq=False)
class ActiveRequest:
    """
    State of a request that is being forwarded.

    ``headers`` are the header fields sent to upstreams. ``may_have_run`` is true
    while an upstream may have run the request and has not reported otherwise.
    ``upstream_ms`` is the total duration of all attempts.
    ``relay`` is the peer that the last attempt passed, empty for none; ``cut_off`` is
    true after an attempt that may have failed for this host's own links.
    ``claiming`` is set while the key of the request is claimed.
    ``asks_retry`` is true while a retry of a slow attempt waits for its permission; one
    that was refused is asked for again from ``ask_again_ms`` on.
    ``held_up_ms`` is when the caller was last seen to take no more of the response.
    ``race`` is set while a second attempt runs beside this one, and ``hedged`` names
    the upstreams of the last race: of the first attempt, the hedge and the winner.
    """

    call: Call
    line: RequestStartLine
    headers: HTTPHeaders
    body: RequestBody | None
    sink: CallerSink
    may_have_run: bool = False
    failure: RequestError | None = None
    attempt_failure: RequestError | None = None
    last_error: RequestError | None = None
    retry_allowed: bool = False
    claiming: asyncio.Future[ClaimTicket | Answer] | None = None
    admission: asyncio.Future[Decision] | None = None
    grant: Grant | None = None
    upstream: UpstreamRow | None = None
    conn: UpstreamConnection | None = None
    needs_new_connection: bool = False
    continuation: "Continuation | None" = None
    may_retry_same_upstream: bool = False
    asks_retry: bool = False
    ask_again_ms: float = -math.inf
    awaits_head: bool = False
    held_up_ms: float = -math.inf
    silent: bool = False
    reuses_connection: bool = False
    cut_off: bool = False
    relay: str = ""
    silence_limit_ms: float = 0.0
    upstream_ms: float = 0.0
    race: "Race | None" = None
    hedged: tuple[str, str, str] | None = None
    hedge_refusal: HedgeRefusal | None = None

    def abort(self, error: RequestError, router: Router | QuarantineGate) -> None:
        """
        Fail the request at whatever stage it is.

        :param error: reason; only the first error is kept
        :param router: cancels the call if it is still queued for admission
        """
        if self.failure is not None:
            return
        self.failure = error
        if self.claiming is not None:
            self.claiming.cancel()
        if self.admission is not None and not self.admission.done():
            router.cancel(self.call)
            self.admission.set_exception(error)
        if self.body is not None:
            self.body.fail(error)
        if self.conn is not None:
            self.conn.close()
        if self.race is not None:
            self.race.abort(error)

    def abort_attempt(self, error: RequestError) -> None:
        """
        Fail the current attempt; the request may be retried.

        :param error: reason; only the first error is kept
        """
        if self.conn is not None and self.attempt_failure is None:
            self.attempt_failure = error
            self.conn.close()
