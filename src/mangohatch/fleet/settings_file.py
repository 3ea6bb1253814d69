"""A settings file that may change while the host runs."""

import os
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from mangohatch.errors import SettingsError
from mangohatch.fleet.settings import FleetSettings

__all__ = ["SettingsFile"]

LOOK_S = 1.0  # between looks at the file, which may change without a signal

log = structlog.get_logger()


class SettingsFile:
    """
    Reads the settings again when asked, and when the file has changed.

    :param path: the file
    :param read: reads and checks it
    :param now_s: a steady clock in seconds
    """

    def __init__(
        self,
        *,
        path: Path,
        read: Callable[[Path], FleetSettings],
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._path = path
        self._read = read
        self._now_s = now_s
        self._asked = False
        self._looked_s = now_s()
        self._mark = self._look()

    def ask(self) -> None:
        """Read the file again at the next opportunity."""
        self._asked = True

    def changed(self) -> FleetSettings | None:
        """
        Read the file if it may have changed.

        :return: the new settings; None when there are none, or they are malformed
        """
        if not self._asked and self._now_s() - self._looked_s < LOOK_S:
            return None
        self._looked_s = self._now_s()
        mark = self._look()
        if not self._asked and mark == self._mark:
            return None
        self._asked = False
        self._mark = mark
        try:
            return self._read(self._path)
        except SettingsError as exc:
            # Those in force stay.
            log.error("settings_refused", file=str(self._path), cause=str(exc))
            return None

    def _look(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
