"""Late binding within a fixed share of the slots."""

from mangohatch.core.call import Call, Grant, Report
from mangohatch.core.choice.base import Chooser
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["PartitionChooser"]


class PartitionChooser(Chooser):
    """
    Assigns every n-th slot to each host; calls wait at the host for one of its slots.

    :param position: index of this host among the hosts, from 0
    :param hosts: number of hosts
    """

    def __init__(self, *, position: int, hosts: int, **parts) -> None:
        super().__init__(**parts)
        self._position = position
        self._hosts = hosts
        self._idle: dict[str, list[UpstreamRow]] = {}

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        idle = self._idle.get(service.spec.name)
        if idle is None:
            idle = self._idle[service.spec.name] = self._own_slots(service)
        for index, row in enumerate(idle):
            if self.is_open(row, call):
                del idle[index]
                return self.make_grant(call, row)
        return None

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        self._idle[service.spec.name].append(grant.upstream)

    def _own_slots(self, service: ServiceRow) -> list[UpstreamRow]:
        slots = [row for row in service.upstreams.values() for _ in range(row.slots)]
        own = slots[self._position :: self._hosts]
        return own or [slots[self._position % len(slots)]]
