"""Whether an upstream is cold, as this host knows it."""

import math
from dataclasses import dataclass

__all__ = ["ColdState", "WarmUp"]


@dataclass(slots=True, kw_only=True, frozen=True)
class WarmUp:
    """
    How the upstreams of a service warm up.

    An upstream is cold for ``duration_ms`` after its start, and takes ``per_s``
    requests a second of all hosts together until then.
    """

    duration_ms: float
    per_s: float


@dataclass(slots=True, kw_only=True)
class ColdState:
    """
    Cold state of one upstream. Times are monotonic milliseconds.

    ``warm_up`` is None where the service has no warm-up rate; the upstream is never
    cold then. ``known`` is whether ``cold`` follows from a statement of the upstream;
    an upstream of an unknown state counts as cold. The state ends at ``until_ms``; the
    statement at ``seen_ms`` named ``stated_until_ms``. ``entry_until_ms`` is what the
    upstream's entry named when it was last looked at.
    """

    warm_up: WarmUp | None = None
    cold: bool = False
    known: bool = True
    until_ms: float = math.inf
    stated_until_ms: float = -math.inf
    seen_ms: float = -math.inf
    entry_until_ms: float = 0.0

    @property
    def limit_per_s(self) -> float:
        """Requests a second that the upstream takes, infinite while it is warm."""
        if self.cold and self.warm_up is not None:
            return self.warm_up.per_s
        return math.inf

    def set_warm_up(self, warm_up: WarmUp | None) -> None:
        """
        Apply the configuration of the service.

        :param warm_up: how its upstreams warm up, None if they have no rate
        """
        if warm_up is None:
            self.cold = False
            self.known = True
        elif self.warm_up is None:
            self.forget()
        self.warm_up = warm_up

    def forget(self) -> None:
        """Treat the upstream as cold until its state is known."""
        self.cold = True
        self.known = False
        self.until_ms = math.inf
        self.stated_until_ms = -math.inf
