"""Faults planted in the state and the claims, which the histories must detect."""

from dataclasses import replace

from mangohatch.claims.record import ClaimState, claim_kind, read_claim
from mangohatch.claims.results import ResultWriter
from mangohatch.claims.store_registry import StoreClaimRegistry, StoreTicket
from mangohatch.errors import StoreConflict, StoreError
from mangohatch.state import ConfigTable, StateService
from mangohatch.state.effects import LeavingEffect
from mangohatch.state.joining import Joining
from mangohatch.state.lease import Lease
from tests.state.claims_machine import ClaimsMachine
from tests.state.config_machine import ConfigMachine

__all__ = ["MUTANTS"]


class RevertingTable(ConfigTable):
    """Applies every object it receives, older revisions included."""

    def apply(self, item):
        known = self.items.pop(f"{item.kind}/{item.name}", None)
        service = self._tables.services.get(item.name)
        if known is not None and service is not None:
            service.revision = 0
        return super().apply(item)


class IgnoredDeadlineLease(Lease):
    """A holder that ignores its own deadline."""

    def held(self):
        return self._term is not None


class NoExpiryWaitLease(Lease):
    """A standby that acquires the lease without waiting for its expiry."""

    def is_free(self, item):
        return True


class SharedEpochLease(Lease):
    """A new holder that does not raise the epoch."""

    async def acquire(self, base, *, above_epoch):
        return await self._write(base, 1)


class StaleReadJoining(Joining):
    """A new host that accepts a stale read of the store as fresh."""

    async def _write_barrier(self):
        return 0


class UnconfirmedClaimRegistry(StoreClaimRegistry):
    """Runs a request although the write of its claim is not confirmed."""

    async def _claim(self, attempt):
        try:
            return await self._write_claim(attempt)
        except StoreError:
            return StoreTicket(registry=self, attempt=attempt, base=None)


class DeadlineReclaimRegistry(StoreClaimRegistry):
    """Claims a key again once the deadline of the first attempt has passed."""

    async def _write_claim(self, attempt):
        found = await self._store.get(claim_kind(attempt.name), attempt.name)
        record = read_claim(found.value) if found else None
        if record is not None and record.state is ClaimState.RUNNING:
            if record.deadline_wall_ms < self._clock.wall_ms():
                item = await self._put(attempt, found)
                return StoreTicket(registry=self, attempt=attempt, base=item)
        return await super()._write_claim(attempt)


class UnknownAsNotRunRegistry(StoreClaimRegistry):
    """Records an unknown outcome as not run."""

    def end(self, attempt, state, answer, base):
        recorded = ClaimState.NOT_RUN if state is ClaimState.UNKNOWN else state
        super().end(attempt, recorded, answer, base)


class ChangedAnswerRegistry(StoreClaimRegistry):
    """Answers a resend with a body other than that of the first answer."""

    def _replay(self, record):
        return replace(super()._replay(record), body=b"another")


class IgnoredConflictMachine(ConfigMachine):
    """Operators that count a conflict as success."""

    async def _write_order(self, host, base, upstreams):
        try:
            await super()._write_order(host, base, upstreams)
        except StoreConflict:
            pass
        self.wins.setdefault(base.revision, set()).add(f"order-{next(self._numbers)}")


class NoReapplyLeaving(LeavingEffect):
    """Does not apply the marks of a service again after its rows were replaced."""

    def reapply_marks(self, service):
        pass


class NoReapplyTable(ConfigTable):
    """Uses :class:`NoReapplyLeaving`."""

    leaving_type = NoReapplyLeaving


class NoAntiEntropyTable(ConfigTable):
    """Never detects that the revisions of two hosts differ."""

    def digest(self):
        return 0

    def newer_than(self, revisions):
        return []


class NoFlushWriter(ResultWriter):
    """A leaving host that does not wait until its results are written."""

    async def flush(self, timeout_ms):
        return self.pending


class NoFlushRegistry(StoreClaimRegistry):
    """Uses :class:`NoFlushWriter`."""

    writer_type = NoFlushWriter


def make_machine(**types):
    state = type("MutantState", (StateService,), types)
    return type("MutantMachine", (ConfigMachine,), {"state_type": state})


def make_claims_machine(registry):
    return type("MutantMachine", (ClaimsMachine,), {"claims_type": registry})


MUTANTS = (
    ("config never reverts", make_machine(table_type=RevertingTable), 1),
    ("fenced watcher is silent", make_machine(lease_type=IgnoredDeadlineLease), 1),
    ("fenced watcher is silent", make_machine(lease_type=NoExpiryWaitLease), 1),
    ("one watcher an epoch", make_machine(lease_type=SharedEpochLease), 1),
    ("accepted never reverts", make_machine(joining_type=StaleReadJoining), 1),
    ("at most once", make_claims_machine(UnconfirmedClaimRegistry), 1),
    ("at most once", make_claims_machine(DeadlineReclaimRegistry), 7),
    ("at most once", make_claims_machine(UnknownAsNotRunRegistry), 3),
    ("the first answer is repeated", make_claims_machine(ChangedAnswerRegistry), 7),
    ("one winner a conflict", IgnoredConflictMachine, 1),
    ("no work to a leaving upstream", make_machine(table_type=NoReapplyTable), 1),
    ("hosts converge", make_machine(table_type=NoAntiEntropyTable), 3),
    ("results land", make_claims_machine(NoFlushRegistry), 6),
)
