"""The router: decides which upstream runs a call, and when."""

import random

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Deliver, Grant, Refusal, Report
from mangohatch.core.health import Health, NoHealth
from mangohatch.core.tables import Tables, UpstreamState
from mangohatch.errors import NoUpstream

__all__ = ["Router"]


class Router:
    """
    Routes calls to upstreams by what this host knows.

    The router does no I/O. It answers through ``deliver``, at once or later from
    :meth:`release` or :meth:`tick`.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        tables: Tables,
        health: Health | None = None,
        host_id: str = "",
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._tables = tables
        self._health = health or NoHealth()
        self._host_id = host_id

    def request(self, call: Call, deliver: Deliver) -> None:
        """
        Ask for an upstream.

        :param call: the call, with its deadline and the upstreams to avoid
        :param deliver: receives exactly one grant or refusal
        """
        row = self._tables.services[call.service]
        rows = [
            upstream
            for upstream in row.upstreams.values()
            if upstream.state is UpstreamState.ACTIVE
            and upstream.name not in call.avoid
            and self._health.eligible(upstream, call)
        ]
        if not rows:
            error = NoUpstream(f"service {call.service} has no upstream for new work")
            deliver(Refusal(call=call, error=error))
            return
        least = min(upstream.in_flight for upstream in rows)
        chosen = self._rng.choice([row for row in rows if row.in_flight == least])
        chosen.in_flight += 1
        grant = Grant(call=call, upstream=chosen, granted_ms=self._clock.now_ms())
        deliver(grant)

    def cancel(self, call: Call) -> None:
        """
        Forget a call that still waits; its ``deliver`` is never called.

        :param call: a call passed to :meth:`request`
        """

    def release(self, grant: Grant, report: Report) -> None:
        """
        End a grant.

        :param grant: the grant that ended
        :param report: how the attempt went
        """
        grant.upstream.in_flight -= 1
        self._health.observe(grant.upstream, report, self._host_id)

    def tick(self) -> None:
        """Run the systems over the tables: expiry, ejection, probing."""
        self._health.tick()
