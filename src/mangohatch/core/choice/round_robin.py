"""Round-robin choice."""

from mangohatch.core.call import Call
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["RoundRobinChooser"]


class RoundRobinChooser(ImmediateChooser):
    """Chooses each open upstream in turn, starting at a random one."""

    def __init__(self, **parts) -> None:
        super().__init__(**parts)
        self._next: dict[str, int] = {}

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        rows = self.candidates(service, call)
        name = service.spec.name
        position = self._next.get(name)
        if position is None:
            position = self._rng.randrange(len(rows))
        self._next[name] = position + 1
        return rows[position % len(rows)]
