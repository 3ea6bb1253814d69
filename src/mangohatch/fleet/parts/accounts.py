"""Client accounts: rejected keys and quotas."""

from collections.abc import Iterable, Iterator

from mangohatch.core.tables import Tables
from mangohatch.fleet.decisions import Decisions
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.request_log import RequestLog
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, make_counter

__all__ = ["ClientAccounts"]

MAX_NAMED = 10  # accounts with a sample of their own; others are counted together


class ClientAccounts(HostPart):
    """
    Counts rejected keys and the permits of accounts.

    :param tables: tables with the accounts
    :param core: the decision core with the permits
    :param log: gets a line for each rejected key
    """

    name = "accounts"

    def __init__(self, *, tables: Tables, core: Decisions, log: RequestLog) -> None:
        self._accounts = tables.accounts
        self._quotas = core.quotas
        self._accounts.on_rejected = log.on_key_rejected

    def counters(self) -> Iterable[Counter]:
        return (
            (
                "quota_exceeded",
                "Requests refused because their account was above its quota.",
                self._quotas.exceeded,
            ),
            (
                "quota_unanswered",
                "Requests refused because no owner of their quota answered in time.",
                self._quotas.unanswered,
            ),
        )

    def samples(self) -> Iterator[Sample]:
        if not self._accounts.enabled:
            return
        yield from super().samples()
        for cause, count in self._accounts.rejected.items():
            yield make_counter(
                "mangohatch_keys_rejected",
                "Requests without a valid key of a client account.",
                count,
                cause=cause,
            )
        for account, count in self._busiest().items():
            yield make_counter(
                "mangohatch_quota_granted",
                "Permits given out as owner; the busiest accounts by name.",
                count,
                account=account,
            )

    def reload(self, cfg: FleetSettings) -> None:
        self._quotas.bounds = cfg.bounds.quota

    def _busiest(self) -> dict[str, int]:
        granted = self._quotas.broker.granted
        names = sorted(granted, key=lambda name: granted[name], reverse=True)
        counts = {name: granted[name] for name in names[:MAX_NAMED]}
        if len(names) > MAX_NAMED:
            # Not the name of an account, which is a token.
            counts["(others)"] = sum(granted[name] for name in names[MAX_NAMED:])
        return counts
