"""Processor time and memory of child processes, read from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "read_usage"]

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
RESIDENT_PAGES_FIELD = 21


@dataclass(slots=True, kw_only=True, frozen=True)
class Usage:
    """Processor time and resident memory of a process."""

    cpu_ms: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """
    Read the usage of a process.

    :param pid: id of the process
    :return: usage since its start, 0 if the process has ended
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    except OSError:
        return Usage(cpu_ms=0.0, resident_bytes=0)
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return Usage(
        cpu_ms=ticks * 1000 / CLOCK_TICKS_PER_S,
        resident_bytes=int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES,
    )
