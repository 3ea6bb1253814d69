"""Choice of the upstream with the fewest requests in flight from this host."""

from mangohatch.core.call import Call
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["LeastInFlightChooser"]


class LeastInFlightChooser(ImmediateChooser):
    """Chooses by the fewest own requests in flight, and at random between equals."""

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        rows = self.candidates(service, call)
        least = min(row.in_flight for row in rows)
        return self._rng.choice([row for row in rows if row.in_flight == least])
