"""Reloads the settings file when it changes while the host runs."""

import os
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from mangohatch.errors import SettingsError
from mangohatch.fleet.settings import FleetSettings

__all__ = ["SettingsFile"]

POLL_INTERVAL_S = 1.0  # the file may change without a signal

log = structlog.get_logger()


class SettingsFile:
    """
    Reads the settings again on request and when the file has changed.

    :param path: the settings file
    :param read: reads and validates the file
    :param now_s: monotonic clock, in seconds
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
        self._reload_requested = False
        self._checked_s = now_s()
        self._last_stat = self._read_stat()

    def request_reload(self) -> None:
        """Read the file at the next call of :meth:`read_if_changed`."""
        self._reload_requested = True

    def read_if_changed(self) -> FleetSettings | None:
        """
        Read the file if it may have changed or a reload was requested.

        :return: the settings; None if the file was not read or is invalid
        """
        if (
            not self._reload_requested
            and self._now_s() - self._checked_s < POLL_INTERVAL_S
        ):
            return None
        self._checked_s = self._now_s()
        file_stat = self._read_stat()
        if not self._reload_requested and file_stat == self._last_stat:
            return None
        self._reload_requested = False
        self._last_stat = file_stat
        try:
            return self._read(self._path)
        except SettingsError as exc:
            # The active settings stay in use.
            log.error("settings_refused", file=str(self._path), cause=str(exc))
            return None

    def _read_stat(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
