"""Performance targets that are known to be missed."""

from pathlib import Path

__all__ = ["read_known_red"]

KNOWN_RED = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
RED_PREFIX = "bench:"


def read_known_red() -> set[str]:
    """
    Read the targets that are known to be missed.

    :return: titles from the ``bench:`` lines of KNOWN-RED.txt
    """
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(RED_PREFIX).strip()
        for line in lines
        if line.startswith(RED_PREFIX)
    }
