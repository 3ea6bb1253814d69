"""Hosts that carry out orders, with a simulated store and network."""

import random
from collections.abc import Set

from mangohatch.core.tables import Tables
from mangohatch.language import parse
from mangohatch.orders.record import OrderRecord
from mangohatch.orders.required import RequiredHosts
from mangohatch.orders.service import OrderService
from mangohatch.orders.view import TableView
from standins.state_hosts import StateHosts
from standins.virtual_loop import LoopClock, VirtualLoop
from tests.fixtures import make_service

__all__ = ["SERVICE", "OrderHosts"]

SERVICE = "tablero-misa"
SETTLE_MS = 4000.0


class LiveHosts(RequiredHosts):
    """Requires all running hosts, like a host list that is never out of date."""

    def __init__(self, *, hosts: StateHosts) -> None:
        self._hosts = hosts

    def required(self) -> Set[str]:
        return set(self._hosts.live)


class OrderHosts:
    """Several hosts with replicated state and orders, in virtual time."""

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        size: int = 4,
        seed: int = 1,
        order_type: type[OrderService] = OrderService,
    ) -> None:
        self.loop = loop
        self.hosts = StateHosts(loop=loop, seed=seed)
        self.rng = random.Random(seed)
        self.orders: dict[str, OrderService] = {}
        self._order_type = order_type
        self.hosts.write(make_service(SERVICE))
        for number in range(1, size + 1):
            self.add(f"e{number}")
        loop.run_for(SETTLE_MS)

    def add(self, host_id: str) -> None:
        host = self.hosts.add(host_id)
        store = self.hosts.store.client("orders")
        self.orders[host_id] = self._order_type(
            bus=self.hosts.network._buses[host_id],
            clock=LoopClock(loop=self.loop),
            rng=random.Random(self.rng.getrandbits(64)),
            store=store,
            view=TableView(table=host.state.table, tables=host.tables),
            hosts=LiveHosts(hosts=self.hosts),
            serving=host.state.ready,
            publish=host.state.publish,
            recorder=host.recorder,
        )

    def kill(self, host_id: str) -> None:
        self.hosts.kill(host_id)
        del self.orders[host_id]

    def start(self, host_id: str, text: str, order_id: str = ""):
        work = self.orders[host_id].submit(parse(text), order_id=order_id)
        return self.loop.spawn(host_id, work)

    def order(self, host_id: str, text: str, order_id: str = "") -> OrderRecord:
        return self.loop.run_until_complete(self.start(host_id, text, order_id))

    def tables(self) -> dict[str, Tables]:
        return {name: host.tables for name, host in self.hosts.live.items()}

    def deadlines(self, service: str = SERVICE) -> set[float]:
        return {
            tables.services[service].spec.deadline_ms
            for tables in self.tables().values()
        }

    def stored(self, service: str = SERVICE):
        return self.hosts.objects.objects.get(("service", service))
