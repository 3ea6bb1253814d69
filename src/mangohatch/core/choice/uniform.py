"""Random choice with equal probabilities."""

from mangohatch.core.call import Call
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["UniformChooser"]


class UniformChooser(ImmediateChooser):
    """Chooses each open upstream with equal probability."""

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        return self._rng.choice(self.candidates(service, call))
