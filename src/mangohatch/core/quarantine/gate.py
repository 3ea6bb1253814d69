"""The gate in front of the router that isolates and refuses suspected requests."""

from collections.abc import Iterable

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Decision, Deliver, Grant, Refusal, Report, Result
from mangohatch.core.limits.quota_gate import QuotaGate
from mangohatch.core.quarantine.answered import AnsweredPaths
from mangohatch.core.quarantine.evidence import BrokenConnection, CrashEvidence
from mangohatch.core.quarantine.hold import HoldTable, fingerprints
from mangohatch.core.quarantine.notices import QuarantineNotices
from mangohatch.core.quarantine.table import QuarantineRow, QuarantineTable
from mangohatch.core.router import Router
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import UpstreamRow, UpstreamState
from mangohatch.errors import DeadlineExceeded, Outcome, RequestQuarantined
from mangohatch.timeline import EventKind, Recorder

__all__ = ["QuarantineGate"]

MIN_RETRY_AFTER_MS = 200.0  # a trial is running

log = structlog.get_logger()


class QuarantineGate:
    """
    Routes calls through the router and protects upstreams from crashing requests.

    A request whose attempt broke a connection is suspected on all hosts. Each host
    runs one copy of it at a time, isolated on its upstream. A response clears the
    request. A second crash quarantines it: its copies are refused as not run until
    the quarantine expires or an operator releases the request, but for one trial from
    time to time, of which all hosts are notified. With ``evidence``, only crashes that
    it confirms count, and copies wait until it is known whether an upstream crashed.

    Crashes are recorded by the fingerprint of the request, by that of its path, and by
    that of its path and caller. The row of a path catches copies that differ in query
    or caller, and the row of a caller those that differ in query. Neither applies on a
    host that saw a response to such a request lately, so that one crashing query does
    not stop a path that many callers use, or all that a caller sends to it.

    ``crashes`` counts the crashes recorded by this host, and ``refused`` the calls
    that it refused because of them.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router | QuotaGate,
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
        self._holds = HoldTable()
        self._answered = AnsweredPaths(clock=clock)
        self.crashes = 0
        self.refused = 0
        notices.on_change(self._decide_waiting)
        if evidence is not None:
            evidence.on_verdict = self._end_check

    def request(self, call: Call, deliver: Deliver) -> None:
        """
        Request an upstream for a call.

        :param call: the call with its fingerprint
        :param deliver: called with exactly one grant or refusal
        """
        if call.hedge and self.is_suspected(call):
            error = RequestQuarantined("a suspected request gets no second attempt")
            deliver(Refusal(call=call, error=error))
            return
        row = self._find_row(call)
        if row is not None and row.quarantined:
            self._refuse_or_try(row, call, deliver)
            return
        hold = self._holds.find(self._scope(call))
        if hold is not None:
            hold.waiting.append((call, deliver))
        elif row is not None:
            self._start_trial(row.fingerprint, call, deliver)
        else:
            self._router.request(call, deliver)

    def is_suspected(self, call: Call) -> bool:
        """
        Return whether copies of a request are suspected, or wait until that is known.

        :param call: the call with its fingerprint
        :return: whether the request has a row that applies to it, or is held
        """
        if self._holds.find(self._scope(call)) is not None:
            return True
        return self._find_row(call) is not None

    def has_room(self, call: Call) -> bool:
        """
        Return whether an upstream may take a call now.

        :param call: the call, with the upstreams to avoid
        :return: whether the router has one, and the request is not suspected
        """
        return not self.is_suspected(call) and self._router.has_room(call)

    def cancel(self, call: Call) -> None:
        """
        Cancel a waiting call; its ``deliver`` is never called.

        :param call: a call passed to :meth:`request`
        """
        if self._holds.cancel(call):
            return
        self._router.cancel(call)
        self._request_again(self._holds.end_trial(call))

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
                self._holds.start_check(call)
                self._evidence.record_break(call, grant.upstream)
        elif report.result is Result.OK:
            self._record_answer(call)
        self._request_again(self._holds.end_trial(call))

    def observe(self, upstream: UpstreamRow, statement: UpstreamStatement) -> None:
        """
        Record what an upstream says of itself, as soon as its response begins.

        :param upstream: the upstream
        :param statement: the decoded head of the response
        """
        self._router.observe(upstream, statement)

    def release_request(self, service: str, fingerprint: str) -> bool:
        """
        Release a request on all hosts by order of an operator.

        :param service: name of the service
        :param fingerprint: fingerprint of the request
        :return: whether the request was suspected or quarantined on this host
        """
        known = self._table.find(fingerprint) is not None
        self._notices.announce(self._table.clear(service, fingerprint))
        self._decide_waiting(fingerprint)
        return known

    def tick(self) -> None:
        """Expire rows and waiting calls, repeat notices, and run the router's tick."""
        self._table.expire()
        self._notices.tick()
        if self._evidence is not None:
            self._evidence.tick()
        for call, deliver in self._holds.expire(self._clock.now_ms()):
            self._refuse_expired(call, deliver)
        self._router.tick()

    def _find_row(self, call: Call) -> QuarantineRow | None:
        """Find the row that decides about a call: a quarantined one, or the widest."""
        names = [name for name in fingerprints(call) if name not in self._answered]
        rows = [row for name in names if (row := self._table.find(name)) is not None]
        return next((row for row in rows if row.quarantined), rows[0] if rows else None)

    def _scope(self, call: Call) -> str:
        """Return the fingerprint by which copies of a call wait for each other."""
        names = fingerprints(call)
        return next(
            (name for name in names if name not in self._answered), call.fingerprint
        )

    def _record_answer(self, call: Call) -> None:
        is_trial = self._holds.is_trial(call)
        for fingerprint in fingerprints(call):
            row = self._table.find(fingerprint)
            # An attempt that began before the quarantine shows nothing.
            if row is not None and (is_trial or not row.quarantined):
                self._clear(call, fingerprint)
        self._answered.record(call.path_fingerprint)
        self._answered.record(call.caller_fingerprint)

    def _refuse_or_try(self, row: QuarantineRow, call: Call, deliver: Deliver) -> None:
        is_held = self._holds.find(row.fingerprint) is not None
        if is_held or self._clock.now_ms() < row.trial_due_ms:
            self._refuse(row, call, deliver)
            return
        self._table.record_trial(row)
        self._notices.announce(row)
        log.info(
            "quarantine_trial",
            request=call.request_id,
            service=call.service,
            fingerprint=row.fingerprint,
            crashes=row.crashes,
        )
        self._start_trial(row.fingerprint, call, deliver)

    def _end_check(self, broken: BrokenConnection, crashed: bool) -> None:
        if crashed:
            self._record_crash(broken.call, broken.upstream.name)
        self._request_again(self._holds.end_check(broken.call))

    def _start_trial(self, fingerprint: str, call: Call, deliver: Deliver) -> None:
        call.isolated = True
        self._holds.start_trial(fingerprint, call)

        def deliver_trial(decision: Decision) -> None:
            deliver(decision)
            if isinstance(decision, Refusal):
                self._request_again(self._holds.end_trial(call))

        self._router.request(call, deliver_trial)

    def _request_again(self, waiting: Iterable[tuple[Call, Deliver]]) -> None:
        for call, deliver in waiting:
            self.request(call, deliver)

    def _decide_waiting(self, fingerprint: str) -> None:
        """Route or refuse calls that wait for a trial, after a change of its row."""
        hold = self._holds.find(fingerprint)
        row = self._table.find(fingerprint)
        if hold is None or (row is None and hold.checks):
            return
        if row is not None and not row.quarantined:
            return
        for call, deliver in self._holds.take_waiting(fingerprint):
            if row is None:
                self._router.request(call, deliver)
            else:
                self._refuse(row, call, deliver)

    def _record_crash(self, call: Call, upstream: str) -> None:
        self.crashes += 1
        for fingerprint in fingerprints(call):
            row = self._table.record_crash(call.service, fingerprint, upstream)
            log.info(
                "request_quarantined" if row.quarantined else "request_suspected",
                request=call.request_id,
                service=call.service,
                fingerprint=fingerprint,
                upstream=upstream,
                crashes=row.crashes,
            )
            self._notices.announce(row)
            if row.quarantined:
                self._record(EventKind.REQUEST_QUARANTINED, call, fingerprint, upstream)
                self._decide_waiting(fingerprint)

    def _clear(self, call: Call, fingerprint: str) -> None:
        self._notices.announce(self._table.clear(call.service, fingerprint))
        log.info(
            "request_cleared",
            request=call.request_id,
            service=call.service,
            fingerprint=fingerprint,
        )
        self._record(EventKind.REQUEST_RELEASED, call, fingerprint, "")

    def _record(
        self, kind: EventKind, call: Call, fingerprint: str, upstream: str
    ) -> None:
        self._recorder.record(
            kind,
            request_id=call.request_id,
            service=call.service,
            upstream=upstream,
            cause=f"fingerprint {fingerprint}",
        )

    @staticmethod
    def _log_broken(grant: Grant) -> None:
        call = grant.call
        log.info(
            "connection_broken",
            request=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint,
            path_fingerprint=call.path_fingerprint,
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
        retry_at_ms = min(row.expires_ms, row.trial_due_ms)
        error = RequestQuarantined(
            f"{row.crashes} attempts of this request broke their upstream",
            retry_after_ms=max(retry_at_ms - self._clock.now_ms(), MIN_RETRY_AFTER_MS),
        )
        self.refused += 1
        deliver(Refusal(call=call, error=error))

    def _refuse_expired(self, call: Call, deliver: Deliver) -> None:
        error = DeadlineExceeded(
            "the deadline passed while a suspected request was tried",
            outcome=Outcome.NOT_RUN,
        )
        deliver(Refusal(call=call, error=error))
