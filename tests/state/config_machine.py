"""State machine of orders, configuration and leaving upstreams."""

from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from mangohatch.core.tables import UpstreamState
from mangohatch.errors import StoreError
from mangohatch.state import service_value
from mangohatch.store.host_list import ListedHost, ListedState
from mangohatch.store.operations import put_resolved, with_operation
from tests.fixtures import make_service
from tests.state.faults import HOSTS_MOST, SERVICE, FaultMachine, hosts_drawn
from tests.state.history import HistoryViolation

__all__ = ["ConfigMachine"]

LISTED = ("u1", "u2", "u3")


class ConfigMachine(FaultMachine):
    """Changes the configuration in all ways while hosts fail."""

    def __init__(self):
        super().__init__()
        self.wins = {}
        self.listed = {}

    @rule(host=hosts_drawn, upstreams=st.integers(1, 5))
    def order(self, host, upstreams):
        self._order(self._host(host), upstreams)
        self.loop.run_for(30.0)

    @rule(one=hosts_drawn, other=hosts_drawn)
    def conflicting_orders(self, one, other):
        self._order(self._host(one), 2)
        self._order(self._host(other), 3)
        self.loop.run_for(30.0)

    @rule(upstreams=st.integers(1, 5))
    def write_to_store(self, upstreams):
        self.hosts.write(make_service(SERVICE, upstreams=upstreams))

    @rule()
    def pause_holder(self):
        for host in self.hosts.holders():
            self.loop.pause(host.host_id)

    @precondition(lambda self: len(self.hosts.live) < HOSTS_MOST)
    @rule()
    def join_cut_off(self):
        self.hosts.network.partition({host_id: 1 for host_id in self.hosts.live})
        self.hosts.add(f"e{next(self._numbers)}")
        self.loop.run_for(4000.0)

    @rule()
    def cut_holder_off(self):
        holders = self.hosts.holders()
        self.hosts.network.partition({host.host_id: 1 for host in holders})
        self.loop.run_for(3000.0)

    @rule(upstream=st.sampled_from(LISTED), state=st.sampled_from(ListedState))
    def list_host_and_order(self, upstream, state):
        self._list_host(upstream, state)
        self.loop.run_for(1500.0)
        self._order(self._host(0), 4)

    def _list_host(self, upstream, state):
        self.listed[upstream] = state
        port = 20_000 + int(upstream.removeprefix("u"))
        self.hosts.host_table.set(
            ListedHost(name=upstream, address="127.0.0.1", port=port, state=state)
        )

    @rule(outage=st.booleans())
    def set_list_outage(self, outage):
        self.hosts.host_table.outage = outage

    @invariant()
    def conflicts_have_one_winner(self):
        for base, winners in self.wins.items():
            if len(winners) > 1:
                raise HistoryViolation("one winner a conflict", f"{base}: {winners}")

    def _check_converged(self):
        super()._check_converged()
        for host in self.hosts.live.values():
            self._check_leaving(host)

    def _check_leaving(self, host):
        rows = host.tables.services[SERVICE].upstreams
        for name, state in self.listed.items():
            draining = state is ListedState.LEAVING
            found = name in rows and rows[name].state is UpstreamState.DRAINING
            if name in rows and found is not draining:
                detail = f"{name} on {host.host_id} is {rows[name].state}"
                raise HistoryViolation("no work to a leaving upstream", detail)

    def _order(self, host, upstreams):
        base = self.hosts.objects.objects.get(("service", SERVICE))
        self.loop.spawn(host.host_id, self._write_order(host, base, upstreams))

    async def _write_order(self, host, base, upstreams):
        operation_id = f"order-{next(self._numbers)}"
        value = service_value(make_service(SERVICE, upstreams=upstreams))
        try:
            stored = await put_resolved(
                self.hosts.store.client("orders"),
                kind="service",
                name=SERVICE,
                value=with_operation(value, operation_id=operation_id, base=base),
                expected_revision=base.revision,
                rng=self.hosts.rng,
            )
        except StoreError:
            return
        self.wins.setdefault(base.revision, set()).add(operation_id)
        host.state.publish(stored)
