"""Choice by idle hints that responses carry."""

from collections import OrderedDict

from mangohatch.core.call import Call, Grant, Report
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["IdleHintsChooser"]


class IdleHintsChooser(ImmediateChooser):
    """
    Prefers an upstream whose last response showed a free slot to a random one.

    Each hint is used once, and the newest hint is used first.
    """

    def __init__(self, **parts) -> None:
        super().__init__(**parts)
        self._hints: dict[str, OrderedDict[str, None]] = {}

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        hints = self._hints.get(service.spec.name)
        while hints:
            name, _ = hints.popitem()
            row = service.upstreams.get(name)
            if row is not None and self.is_open(row, call):
                return row
        return self._rng.choice(self.candidates(service, call))

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        row = grant.upstream
        load = report.statement.in_flight
        hints = self._hints.setdefault(service.spec.name, OrderedDict())
        hints.pop(row.name, None)
        if load is not None and load < row.slots:
            hints[row.name] = None
