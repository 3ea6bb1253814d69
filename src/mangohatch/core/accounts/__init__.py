"""Client accounts: their keys, priorities and limits."""

from mangohatch.core.accounts.account import Account, digest_key
from mangohatch.core.accounts.table import AccountTable

__all__ = ["Account", "AccountTable", "digest_key"]
