"""The gate in front of the router that isolates and refuses suspected requests."""

from collections import deque
from dataclasses import dataclass, field

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Decision, Deliver, Grant, Refusal, Report, Result
from mangohatch.core.quarantine.evidence import CrashEvidence
from mangohatch.core.quarantine.notices import QuarantineNotices
from mangohatch.core.quarantine.table import Key, QuarantineRow, QuarantineTable
from mangohatch.core.router import Router
from mangohatch.core.tables import UpstreamRow, UpstreamState
from mangohatch.errors import DeadlineExceeded, Outcome, RequestQuarantined
from mangohatch.timeline import EventKind, Recorder

__all__ = ["QuarantineGate"]

ANSWERED = frozenset({Result.OK, Result.ERROR})

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True)
class Trial:
    """The single isolated run of a suspected request, and the calls waiting for it."""

    call: Call
    waiting: deque[tuple[Call, Deliver]] = field(default_factory=deque)


class QuarantineGate:
    """
    Routes calls through the router and protects upstreams from crashing requests.

    A request whose attempt broke a connection is suspected on all hosts. Each host
    runs one copy of it at a time, isolated on its upstream. A response clears the
    request. A second crash quarantines it: its copies are refused as not run until
    the quarantine expires or an operator releases the request. With ``evidence``,
    only crashes that it confirms count.

    ``crashes`` counts the crashes recorded by this host, and ``refused`` the calls
    that it refused because of them.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        table: QuarantineTable,
        notices: QuarantineNotices,
        recorder: Recorder,
        evidence: CrashEvidence | None = None,
    ) -> None:
        self._clock = clock
        self._router = router
        self._table = table
        self._notices = notices
        self._recorder = recorder
        self._evidence = evidence
        self._trials: dict[Key, Trial] = {}
        self.crashes = 0
        self.refused = 0
        notices.on_change(self._decide_waiting)

    def request(self, call: Call, deliver: Deliver) -> None:
        """
        Request an upstream for a call.

        :param call: the call with its fingerprint
        :param deliver: called with exactly one grant or refusal
        """
        row = self._table.find(call.service, call.fingerprint)
        if not call.fingerprint or row is None:
            self._router.request(call, deliver)
            return
        if row.quarantined:
            self._refuse(row, call, deliver)
            return
        trial = self._trials.get((call.service, call.fingerprint))
        if trial is None:
            self._start_trial(call, deliver)
        else:
            trial.waiting.append((call, deliver))

    def cancel(self, call: Call) -> None:
        """
        Cancel a waiting call; its ``deliver`` is never called.

        :param call: a call passed to :meth:`request`
        """
        trial = self._trials.get((call.service, call.fingerprint))
        if trial is None:
            self._router.cancel(call)
            return
        if trial.call is call:
            self._router.cancel(call)
            self._end_trial(call)
            return
        kept = (item for item in trial.waiting if item[0] is not call)
        waiting = deque(kept)
        if len(waiting) == len(trial.waiting):
            self._router.cancel(call)
        trial.waiting = waiting

    def release(self, grant: Grant, report: Report) -> None:
        """
        End a grant and update the suspicion of its request.

        :param grant: the grant that ended
        :param report: result of the attempt
        """
        self._router.release(grant, report)
        self._record_drained(grant.upstream)
        call = grant.call
        if not call.fingerprint:
            return
        if report.result is Result.ABORTED:
            self._log_broken(grant)
            if self._evidence is None:
                self._record_crash(call, grant.upstream.name)
            else:
                self._evidence.record_break(call, grant.upstream)
        elif report.result in ANSWERED:
            if self._table.find(call.service, call.fingerprint) is not None:
                self._clear(call)
        self._end_trial(call)

    def release_request(self, service: str, fingerprint: str) -> bool:
        """
        Release a request on all hosts by order of an operator.

        :param service: name of the service
        :param fingerprint: fingerprint of the request
        :return: whether the request was suspected or quarantined on this host
        """
        known = self._table.clear(service, fingerprint)
        self._notices.announce_clear(service, fingerprint)
        self._decide_waiting((service, fingerprint))
        return known

    def tick(self) -> None:
        """Expire rows and waiting calls, repeat notices, and run the router's tick."""
        self._table.expire()
        if self._evidence is not None:
            for item in self._evidence.pop_crashes():
                self._record_crash(item.call, item.upstream.name)
        self._notices.tick()
        self._expire_waiting()
        self._router.tick()

    def _start_trial(self, call: Call, deliver: Deliver) -> None:
        call.isolated = True
        self._trials[(call.service, call.fingerprint)] = Trial(call=call)

        def deliver_trial(decision: Decision) -> None:
            deliver(decision)
            if isinstance(decision, Refusal):
                self._end_trial(call)

        self._router.request(call, deliver_trial)

    def _end_trial(self, call: Call) -> None:
        trial = self._trials.get((call.service, call.fingerprint))
        if trial is None or trial.call is not call:
            return
        del self._trials[(call.service, call.fingerprint)]
        for waiting_call, deliver in trial.waiting:
            self.request(waiting_call, deliver)

    def _decide_waiting(self, key: Key) -> None:
        """Route or refuse calls that wait for a trial, after a change of its row."""
        trial = self._trials.get(key)
        row = self._table.find(*key)
        if trial is None or (row is not None and not row.quarantined):
            return
        waiting, trial.waiting = trial.waiting, deque()
        for call, deliver in waiting:
            if row is None:
                self._router.request(call, deliver)
            else:
                self._refuse(row, call, deliver)

    def _record_crash(self, call: Call, upstream: str) -> None:
        row = self._table.record_crash(call.service, call.fingerprint, upstream)
        self.crashes += 1
        log.info(
            "request_quarantined" if row.quarantined else "request_suspected",
            request=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint,
            upstream=upstream,
            crashes=row.crashes,
        )
        self._notices.announce(row)
        if row.quarantined:
            self._record(EventKind.REQUEST_QUARANTINED, call, upstream)

    def _clear(self, call: Call) -> None:
        self._table.clear(call.service, call.fingerprint)
        self._notices.announce_clear(call.service, call.fingerprint)
        log.info(
            "request_cleared",
            request=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint,
        )
        self._record(EventKind.REQUEST_RELEASED, call, "")

    def _record(self, kind: EventKind, call: Call, upstream: str) -> None:
        self._recorder.record(
            kind,
            request_id=call.request_id,
            service=call.service,
            upstream=upstream,
            cause=f"fingerprint {call.fingerprint}",
        )

    @staticmethod
    def _log_broken(grant: Grant) -> None:
        call = grant.call
        log.info(
            "connection_broken",
            request=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint,
            upstream=grant.upstream.name,
            attempt=call.attempt,
            isolated=call.isolated,
            occupancy=grant.upstream.load.occupancy(),
        )

    def _record_drained(self, upstream: UpstreamRow) -> None:
        if upstream.state is UpstreamState.DRAINING and upstream.in_flight == 0:
            self._recorder.record(
                EventKind.UPSTREAM_DRAINED,
                service=upstream.service,
                upstream=upstream.name,
                cause="its last request from this host has ended",
            )

    def _refuse(self, row: QuarantineRow, call: Call, deliver: Deliver) -> None:
        remaining_ms = row.expires_ms - self._clock.now_ms()
        error = RequestQuarantined(
            f"{row.crashes} attempts of this request broke their upstream",
            retry_after_ms=remaining_ms,
        )
        self.refused += 1
        deliver(Refusal(call=call, error=error))

    def _expire_waiting(self) -> None:
        now_ms = self._clock.now_ms()
        for trial in tuple(self._trials.values()):
            if not trial.waiting:
                continue
            expired = [item for item in trial.waiting if item[0].deadline_ms <= now_ms]
            for item in expired:
                trial.waiting.remove(item)
                self._refuse_expired(*item)

    def _refuse_expired(self, call: Call, deliver: Deliver) -> None:
        error = DeadlineExceeded(
            "the deadline passed while a suspected request was tried",
            outcome=Outcome.NOT_RUN,
        )
        deliver(Refusal(call=call, error=error))
