"""Client accounts: rejected keys and quotas."""

from collections.abc import Iterator

from mangohatch.core.tables import Tables
from mangohatch.fleet.part import HostPart
from mangohatch.fleet.request_log import RequestLog
from mangohatch.metrics import Sample, make_counter

__all__ = ["ClientAccounts"]


class ClientAccounts(HostPart):
    """
    Counts the requests without a valid key.

    :param tables: tables with the accounts
    :param request_log: gets a line for each rejected request
    """

    name = "accounts"

    def __init__(self, *, tables: Tables, request_log: RequestLog) -> None:
        self._accounts = tables.accounts
        self._accounts.on_rejected = request_log.on_key_rejected

    def samples(self) -> Iterator[Sample]:
        for cause, count in self._accounts.rejected.items():
            yield make_counter(
                "mangohatch_keys_rejected",
                "Requests without a valid key of a client account.",
                count,
                cause=cause,
            )
