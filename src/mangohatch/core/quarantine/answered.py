"""Paths whose requests were answered lately on this host."""

import math
from collections import OrderedDict

from mangohatch.clock import Clock

__all__ = ["AnsweredPaths"]

RETENTION_MS = 60_000.0
MAX_PATHS = 2_000


class AnsweredPaths:
    """
    Remembers the paths that an upstream answered successfully.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._answered_ms: OrderedDict[str, float] = OrderedDict()

    def record(self, path_fingerprint: str) -> None:
        """
        Record a successful response.

        :param path_fingerprint: fingerprint of the path; may be empty
        """
        if not path_fingerprint:
            return
        self._answered_ms[path_fingerprint] = self._clock.now_ms()
        self._answered_ms.move_to_end(path_fingerprint)
        if len(self._answered_ms) > MAX_PATHS:
            self._answered_ms.popitem(last=False)

    def __contains__(self, path_fingerprint: str) -> bool:
        answered_ms = self._answered_ms.get(path_fingerprint, -math.inf)
        return self._clock.now_ms() - answered_ms < RETENTION_MS
