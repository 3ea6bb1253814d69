"""Choice of the less loaded of two random upstreams."""

from mangohatch.core.call import Call
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["PowerOfTwoChooser"]

SAMPLES = 2


class PowerOfTwoChooser(ImmediateChooser):
    """Chooses, of two random upstreams, the one with fewer own requests in flight."""

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        rows = self.candidates(service, call)
        if len(rows) < SAMPLES:
            return rows[0]
        first, second = self._rng.sample(rows, SAMPLES)
        return first if first.in_flight <= second.in_flight else second
