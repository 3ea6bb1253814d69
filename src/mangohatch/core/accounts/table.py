"""The client accounts in force on this host, by key and by name."""

import hmac
from collections.abc import Callable, Iterable

from mangohatch.core.accounts.account import Account

__all__ = ["AccountTable"]

PREFIX_BYTES = 8  # of a digest; finds the few keys that are compared in constant time


class AccountTable:
    """
    Client accounts by key and by name.

    It is replaced together with the routes, so that versions are ordered as they are
    for routes. ``lowest_priority`` is that of the least urgent account, which requests
    without an account get. ``rejected`` counts the requests without a valid key by
    cause; ``on_rejected`` is called with the request id, the route and the cause of
    each.
    """

    def __init__(self) -> None:
        self.lowest_priority = 0
        self.rejected: dict[str, int] = {}
        self.on_rejected: Callable[[str, str, str], None] = ignore_rejection
        self._by_name: dict[str, Account] = {}
        self._by_prefix: dict[bytes, list[tuple[bytes, Account]]] = {}

    @property
    def enabled(self) -> bool:
        """Whether the configuration names any account."""
        return bool(self._by_name)

    def replace(self, accounts: Iterable[Account]) -> None:
        """
        Replace all accounts.

        :param accounts: the accounts of a newer configuration
        """
        self._by_name = {item.name: item for item in accounts}
        self.lowest_priority = max(
            (item.priority for item in self._by_name.values()), default=0
        )
        self._by_prefix = {}
        for account in self._by_name.values():
            for digest in account.key_digests:
                keys = self._by_prefix.setdefault(digest[:PREFIX_BYTES], [])
                keys.append((digest, account))

    def find_by_key(self, digest: bytes) -> Account | None:
        """
        Find the account of a key.

        The prefix of a digest can't be chosen by a caller who does not know the key,
        so the lookup by prefix tells nothing; the rest is compared in constant time.

        :param digest: digest of the key
        :return: the account, None if the key is unknown
        """
        found = None
        for known, account in self._by_prefix.get(digest[:PREFIX_BYTES], ()):
            if hmac.compare_digest(known, digest):
                found = account
        return found

    def find(self, name: str) -> Account | None:
        """
        Find an account by its name.

        :param name: name of the account
        :return: the account, None if there is none
        """
        return self._by_name.get(name)

    def record_rejection(self, *, request_id: str, route: str, cause: str) -> None:
        """
        Count a request without a valid key.

        :param request_id: id of the request
        :param route: name of its route
        :param cause: one of few causes
        """
        self.rejected[cause] = self.rejected.get(cause, 0) + 1
        self.on_rejected(request_id, route, cause)


def ignore_rejection(request_id: str, route: str, cause: str) -> None:
    """
    Do nothing; the default of ``on_rejected``.

    :param request_id: id of the request
    :param route: name of its route
    :param cause: why the key was rejected
    """
