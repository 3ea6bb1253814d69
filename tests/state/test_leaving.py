"""Tests of upstreams that the host list reports as leaving."""

from mangohatch.core.tables import DrainCause, UpstreamState
from mangohatch.store.host_list import ListedHost, ListedState
from standins.state_hosts import StateHosts
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
MARK_PROPAGATION_MS = 3000.0


@fixture
def fleet(loop):
    state_hosts = StateHosts(loop=loop)
    state_hosts.write(make_service(SERVICE))
    for number in range(1, 5):
        state_hosts.add(f"e{number}")
    loop.run_for(4000)
    return state_hosts


def list_upstream(fleet, state, port=20_001):
    fleet.host_table.set(
        ListedHost(name=f"b{port}", address="127.0.0.1", port=port, state=state)
    )


def states(fleet, name="u1"):
    return {
        host.tables.services[SERVICE].upstreams[name].state
        for host in fleet.live.values()
    }


def test_leaving_upstream_gets_no_new_work_on_any_host(fleet):
    list_upstream(fleet, ListedState.LEAVING)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    assert states(fleet) == {UpstreamState.DRAINING}
    assert states(fleet, "u2") == {UpstreamState.ACTIVE}


def test_mark_survives_a_change_of_the_service(fleet):
    list_upstream(fleet, ListedState.LEAVING)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    revision = fleet.write(make_service(SERVICE, upstreams=5)).revision
    fleet.wait_until_active(SERVICE, revision, 1000.0)
    assert states(fleet) == {UpstreamState.DRAINING}


def test_upstream_listed_live_again_gets_new_work(fleet):
    list_upstream(fleet, ListedState.LEAVING)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    list_upstream(fleet, ListedState.LIVE)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    assert states(fleet) == {UpstreamState.ACTIVE}


def test_list_does_not_end_a_drain_signed_by_the_upstream(fleet):
    for host in fleet.live.values():
        row = host.tables.services[SERVICE].upstreams["u1"]
        row.start_drain(DrainCause.SIGN)
    list_upstream(fleet, ListedState.LEAVING)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    list_upstream(fleet, ListedState.LIVE)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    assert states(fleet) == {UpstreamState.DRAINING}


def test_new_host_has_the_marks_when_it_is_ready(fleet):
    list_upstream(fleet, ListedState.LEAVING)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    fleet.host_table.outage = True
    fleet.objects.faults.outage = True
    new_host = fleet.add("e9")
    while not new_host.state.ready():
        fleet.loop.run_for(10.0)
    row = new_host.tables.services[SERVICE].upstreams["u1"]
    assert row.state is UpstreamState.DRAINING


def test_marks_survive_a_list_outage_and_a_new_holder(fleet):
    list_upstream(fleet, ListedState.LEAVING)
    fleet.loop.run_for(MARK_PROPAGATION_MS)
    fleet.host_table.outage = True
    fleet.kill(fleet.holders()[0].host_id)
    fleet.loop.run_for(20_000)
    assert states(fleet) == {UpstreamState.DRAINING}


def test_only_one_host_reads_the_list(fleet):
    before = fleet.host_table.reads
    fleet.loop.run_for(10_000)
    assert fleet.host_table.reads - before <= 11
