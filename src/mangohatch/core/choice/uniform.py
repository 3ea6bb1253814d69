"""Choice at random."""

from mangohatch.core.call import Call
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["UniformChooser"]


class UniformChooser(ImmediateChooser):
    """Every open upstream is equally likely."""

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        return self._rng.choice(self.candidates(service, call))
