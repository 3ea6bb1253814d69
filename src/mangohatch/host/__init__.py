"""Composition of one entry host from its parts."""

from mangohatch.host.entry_host import EntryHost
from mangohatch.host.process import run_host

__all__ = ["EntryHost", "run_host"]
