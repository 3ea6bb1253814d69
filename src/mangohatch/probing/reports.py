"""Exchange of load reports between hosts."""

import math
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.limits.cold import ColdStates
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.signs import SignSystem
from mangohatch.core.subset import SubsetTable, split_hosts
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.load import LoadReport, LoadSample

__all__ = ["LoadReports"]

PERCENT = 100.0
NO_LIMIT = -1.0
UNKNOWN_AGE_MS = -1
MAX_LIMIT_AGE_MS = 600_000.0
BATCH_DELAY_MS = 3.0  # results of several probes share a message
MAX_SAMPLES = 200  # per message; about 4 KB
MAX_RECEIVERS = 20  # of one host; the users of an upstream on a site of 21 hosts


class LoadReports:
    """
    Sends the loads measured by this host to peers, and applies those of peers.

    A load goes to the hosts that use its upstream, and loads with the same receivers
    share messages. What a host receives therefore depends on the number of upstreams
    that it uses. Small services have many users for each upstream. Their reports go to
    one host in each part of the users, which passes them on, and which differs from
    report to report, as it may be lost. The owner of such an upstream would otherwise
    send as many messages for each load probe as there are hosts.

    :param clock: source of time
    :param tables: services and upstreams
    :param subset: the hosts that use each upstream
    :param bus: messages to other hosts
    :param timers: delays sending to collect several loads in one message
    :param estimator: receives the reports of peers
    :param on_load: called with the service name after a report was applied
    :param signs: learns from reports which upstreams still leave
    :param cold: learns from reports which upstreams are cold; None if none ever is
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        subset: SubsetTable,
        bus: PeerBus,
        timers: Timers,
        estimator: LoadEstimator,
        on_load: Callable[[str], None],
        signs: SignSystem,
        cold: ColdStates | None = None,
    ) -> None:
        self._cold = cold
        self._clock = clock
        self._estimator = estimator
        self._timers = timers
        self._tables = tables
        self._subset = subset
        self._bus = bus
        self._on_load = on_load
        self._signs = signs
        self._turn = 0
        self._unsent: dict[str, dict[str, UpstreamRow]] = {}
        bus.subscribe(LoadReport, self._receive)

    def add(self, row: UpstreamRow) -> None:
        """
        Include the load of an upstream in the next report to peers.

        :param row: the upstream, with its new load
        """
        if not self._unsent:
            self._timers.call_later(BATCH_DELAY_MS, self._flush)
        self._unsent.setdefault(row.service, {})[row.name] = row

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for service, rows in unsent.items():
            batches: dict[frozenset[str], list[LoadSample]] = {}
            for row in rows.values():
                sample = self._make_sample(row)
                if sample is not None:
                    users = self._subset.users(service, row.name)
                    batches.setdefault(users, []).append(sample)
            for users, samples in batches.items():
                self._send(service, users, samples)

    def _send(
        self, service: str, users: frozenset[str], samples: list[LoadSample]
    ) -> None:
        for first in range(0, len(samples), MAX_SAMPLES):
            part = samples[first : first + MAX_SAMPLES]
            report = LoadReport(service_name=service, samples=part)
            if len(users) <= MAX_RECEIVERS + 1:
                self._bus.multicast(sorted(users), report)
            else:
                report.relay = True
                self._bus.multicast(self._choose_relays(users), report)

    def _choose_relays(self, users: frozenset[str]) -> list[str]:
        self._turn += 1
        receivers = users - {self._bus.host_id}
        parts = split_hosts(receivers, MAX_RECEIVERS)
        return [part[self._turn % len(part)] for part in parts if part]

    def _pass_on(self, sender: str, report: LoadReport) -> None:
        if not report.samples:
            return
        upstream = report.samples[0].upstream
        users = self._subset.users(report.service_name, upstream) - {sender}
        copy = LoadReport(service_name=report.service_name, samples=report.samples)
        for part in split_hosts(users, MAX_RECEIVERS):
            if self._bus.host_id in part:
                self._bus.multicast(part, copy)

    def _make_sample(self, row: UpstreamRow) -> LoadSample | None:
        load = row.load.load
        if load is None:
            return None
        cold_ms = self._cold.remaining_ms(row) if self._cold is not None else None
        return LoadSample(
            upstream=row.name,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            slowdown_percent=round(load.slowdown * PERCENT),
            age_ms=int(self._clock.now_ms() - row.load.measured_ms),
            healthy=load.healthy,
            leaving=row.signs.leaving_ms >= row.load.measured_ms,
            limit_per_s=row.limit.per_s if row.limit.named else NO_LIMIT,
            limit_age_ms=self._limit_age_ms(row),
            cold_ms=cold_ms,
            cold_age_ms=self._cold_age_ms(row) if cold_ms is not None else None,
        )

    def _cold_age_ms(self, row: UpstreamRow) -> int:
        age_ms = self._clock.now_ms() - row.cold.seen_ms
        return math.ceil(min(age_ms, MAX_LIMIT_AGE_MS))

    def _observe_cold(self, row: UpstreamRow, sample: LoadSample) -> None:
        if self._cold is None or sample.cold_ms is None or sample.cold_age_ms is None:
            return
        # The statement named this end, whatever the age of the statement.
        cold_ms = sample.cold_ms + sample.cold_age_ms if sample.cold_ms else 0
        seen_ms = self._clock.now_ms() - sample.cold_age_ms
        self._cold.observe(row, cold_ms, seen_ms=seen_ms)

    def _limit_age_ms(self, row: UpstreamRow) -> int:
        age_ms = self._clock.now_ms() - row.limit.seen_ms
        return int(age_ms) if age_ms < MAX_LIMIT_AGE_MS else UNKNOWN_AGE_MS

    def _receive(self, sender: str, report: LoadReport) -> None:
        if report.relay:
            self._pass_on(sender, report)
        service = self._tables.services.get(report.service_name)
        if service is None:
            return
        now_ms = self._clock.now_ms()
        for sample in report.samples:
            row = service.upstreams.get(sample.upstream)
            if row is None:
                continue
            load = UpstreamLoad(
                running=sample.running,
                waiting=sample.waiting,
                slots=sample.slots,
                slowdown=sample.slowdown_percent / PERCENT,
                healthy=sample.healthy,
            )
            if sample.limit_age_ms >= 0:
                row.limit.observe(
                    sample.limit_per_s if sample.limit_per_s >= 0.0 else math.inf,
                    seen_ms=now_ms - sample.limit_age_ms,
                )
            self._observe_cold(row, sample)
            self._signs.observe_report(
                row,
                leaving=sample.leaving,
                healthy=sample.healthy,
                measured_ms=now_ms - sample.age_ms,
            )
            self._estimator.observe(
                row, load, measured_ms=now_ms - sample.age_ms, seen_ms=now_ms
            )
        self._on_load(report.service_name)
