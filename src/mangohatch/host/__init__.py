"""Assembles and runs one entry host."""

from mangohatch.host.entry_host import EntryHost
from mangohatch.host.process import run_host

__all__ = ["EntryHost", "run_host"]
