"""The limit that an upstream names in its responses."""

import math
from dataclasses import dataclass

__all__ = ["NamedLimit"]


@dataclass(slots=True, kw_only=True)
class NamedLimit:
    """
    Requests a second that an upstream takes from all hosts together.

    ``per_s`` is infinite if the latest response named no limit. ``seen_ms`` is the
    monotonic time of that response, infinitely early if there was none.
    """

    per_s: float = math.inf
    seen_ms: float = -math.inf

    @property
    def named(self) -> bool:
        """Whether the upstream names a limit."""
        return self.per_s < math.inf

    def observe(self, per_s: float, *, seen_ms: float) -> bool:
        """
        Record what a response named, unless a newer one is known.

        :param per_s: requests a second, infinite if the response named no limit
        :param seen_ms: monotonic time of the response in milliseconds
        :return: whether the limit has changed
        """
        if seen_ms <= self.seen_ms:
            return False
        self.seen_ms = seen_ms
        changed = per_s != self.per_s
        self.per_s = per_s
        return changed
