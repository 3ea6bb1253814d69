"""Tests of the configuration state across several hosts."""

from mangohatch.config import StateSettings
from mangohatch.peer.messages.config import ConfigItem, ConfigPush
from mangohatch.state import Readiness, StateService
from mangohatch.timeline.recorder import HybridClock, Recorder
from standins.state_hosts import StateHosts
from standins.virtual_loop import LoopClock
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

MAX_APPLY_MS = 6000.0
SETTLE_MS = 4000.0
SERVICE = "tablero-misa"
RELAY_ABOVE = 4
FANOUT = 3


@fixture
def hosts(loop):
    state_hosts = StateHosts(loop=loop)
    state_hosts.write(make_service(SERVICE))
    for number in range(1, 6):
        state_hosts.add(f"e{number}")
    loop.run_for(SETTLE_MS)
    return state_hosts


def change(hosts, upstreams):
    return hosts.write(make_service(SERVICE, upstreams=upstreams)).revision


def assert_applied(hosts, revision):
    took_ms = hosts.wait_until_active(SERVICE, revision, 2 * MAX_APPLY_MS)
    assert took_ms <= MAX_APPLY_MS, f"applied after {took_ms} ms"


def test_hosts_become_ready_and_one_holds_the_lease(hosts):
    assert all(host.state.ready() for host in hosts.live.values())
    assert len(hosts.holders()) == 1


def test_change_is_applied_on_every_host(hosts):
    assert_applied(hosts, change(hosts, 4))


def test_standbys_do_not_call_the_store(hosts):
    before = hosts.objects.calls.copy()
    hosts.loop.run_for(10_000)
    hosts.objects.calls.subtract(before)
    calls = {key: count for key, count in hosts.objects.calls.items() if count}
    renewals = calls.pop(("state", "put"))
    sweeps = calls.pop(("sweep", "list"), 0)
    assert not calls
    assert renewals <= 25 and sweeps <= 1


def test_change_is_applied_after_the_holder_dies(hosts):
    dead = hosts.holders()[0].host_id
    hosts.kill(dead)
    assert_applied(hosts, change(hosts, 4))
    hosts.loop.run_for(MAX_APPLY_MS)
    assert len(hosts.holders()) == 1


def test_leaving_holder_releases_the_lease(hosts):
    hosts.stop(hosts.holders()[0].host_id)
    hosts.loop.run_for(2000)
    assert len(hosts.holders()) == 1


def test_paused_holder_does_not_push_after_it_resumes(hosts):
    paused = hosts.holders()[0]
    hosts.loop.pause(paused.host_id)
    hosts.loop.run_for(10_000)
    assert len(hosts.holders()) == 1
    sent = hosts.network.sent_by_host[paused.host_id]
    hosts.loop.resume(paused.host_id)
    assert not paused.state.is_holder()
    hosts.loop.run_for(100)
    assert hosts.network.sent_by_host[paused.host_id] - sent <= 1
    assert_applied(hosts, change(hosts, 4))
    assert paused.state.revision_of("service", SERVICE) > 0


def test_push_of_a_lower_epoch_is_refused(hosts):
    hosts.kill(hosts.holders()[0].host_id)
    hosts.loop.run_for(SETTLE_MS)
    standby = next(h for h in hosts.live.values() if not h.state.is_holder())
    distribution = standby.state.distribution
    assert distribution.epoch == 2
    item = ConfigItem(kind="service", name=SERVICE, revision=10**6, deleted=True)
    push = ConfigPush(items=[item], revision=10**6, watcher="e1", epoch=1)
    hosts.network.transmit("e1", standby.host_id, push)
    hosts.loop.run_for(10)
    assert distribution.refused_pushes == 1
    assert SERVICE in standby.tables.services


def test_silent_watch_is_detected(hosts):
    hosts.objects.faults.silent_watches = True
    hosts.loop.run_for(500)
    assert_applied(hosts, change(hosts, 4))


def test_stale_reads_do_not_revert_the_configuration(hosts):
    old = hosts.objects.revision
    revision = change(hosts, 4)
    assert_applied(hosts, revision)
    hosts.objects.faults.stale_revision = old
    hosts.kill(hosts.holders()[0].host_id)
    hosts.loop.run_for(10_000)
    new_host = hosts.add("e9")
    hosts.loop.run_for(10_000)
    assert new_host.state.ready()
    assert min(hosts.active_revisions(SERVICE).values()) == revision


def test_new_host_reads_from_peers_in_a_store_outage(hosts):
    revision = change(hosts, 4)
    assert_applied(hosts, revision)
    hosts.objects.faults.outage = True
    hosts.loop.run_for(60_000)
    new_host = hosts.add("e9")
    hosts.loop.run_for(3000)
    assert new_host.state.ready()
    assert new_host.state.revision_of("service", SERVICE) == revision
    hosts.objects.faults.outage = False
    assert_applied(hosts, change(hosts, 5))


def test_hosts_without_configuration_are_not_ready(loop):
    hosts = StateHosts(loop=loop)
    hosts.write(make_service(SERVICE))
    hosts.objects.faults.outage = True
    for number in range(3):
        hosts.add(f"e{number}")
    loop.run_for(30_000)
    for host in hosts.live.values():
        assert host.state.readiness() is Readiness.NOTHING_KNOWN
    hosts.objects.faults.outage = False
    loop.run_for(20_000)
    assert all(host.state.ready() for host in hosts.live.values())


def test_stale_store_reads_do_not_make_a_host_ready(loop):
    hosts = StateHosts(loop=loop)
    hosts.write(make_service(SERVICE))
    hosts.write(make_service(SERVICE, upstreams=5))
    hosts.objects.faults.stale_revision = 1
    hosts.add("e1")
    hosts.add("e2")
    loop.run_for(30_000)
    assert not any(host.state.ready() for host in hosts.live.values())


def test_both_sides_of_a_partition_follow_the_store(hosts):
    holder = hosts.holders()[0].host_id
    others = [host_id for host_id in hosts.live if host_id != holder]
    hosts.network.partition({host_id: 1 for host_id in others[:3]})
    hosts.loop.run_for(5000)
    assert_applied(hosts, change(hosts, 4))
    hosts.network.partition({})
    assert_applied(hosts, change(hosts, 5))
    assert len(hosts.holders()) == 1


def test_lost_pushes_are_recovered(hosts):
    hosts.network.faults.loss = 0.5
    hosts.network.faults.duplicates = 0.3
    hosts.network.faults.extra_delay_ms = 300.0
    assert_applied(hosts, change(hosts, 4))


def test_published_object_is_applied_without_a_holder(hosts):
    for host in list(hosts.holders()):
        hosts.kill(host.host_id)
    stored = hosts.write(make_service(SERVICE, upstreams=4))
    next(iter(hosts.live.values())).state.publish(stored)
    assert hosts.wait_until_active(SERVICE, stored.revision, 100.0) < 100.0


def test_store_calls_in_an_outage_are_bounded(hosts):
    hosts.objects.faults.outage = True
    hosts.loop.run_for(60_000)
    before = sum(hosts.objects.calls.values())
    hosts.loop.run_for(60_000)
    assert (sum(hosts.objects.calls.values()) - before) / 60 <= 5.0


def test_large_fleet_relays_pushes(loop):
    hosts = StateHosts(loop=loop)
    hosts.write(make_service(SERVICE))
    for number in range(20):
        hosts.add(f"e{number}", relay_above=RELAY_ABOVE, fanout=FANOUT)
    loop.run_for(SETTLE_MS)
    assert len(hosts.holders()) == 1
    holder = hosts.holders()[0].host_id
    before = hosts.network.sent_by_host[holder]
    revision = change(hosts, 4)
    loop.run_for(50)
    sent = hosts.network.sent_by_host[holder] - before
    heartbeat, digest = RELAY_ABOVE, 2
    assert sent <= 2 * (RELAY_ABOVE + FANOUT) + heartbeat + digest
    assert_applied(hosts, revision)


def test_new_host_pulls_each_object_once(hosts):
    for number in range(50):
        hosts.write(make_service(f"s{number}"))
    hosts.loop.run_for(2000)
    hosts.objects.faults.outage = True
    received = []
    hosts.network.observers.append(
        lambda sender, message: received.extend(
            item.name for item in getattr(message, "items", []) if message.items
        )
    )
    new_host = hosts.add("e9")
    while not new_host.state.ready():
        hosts.loop.run_for(10.0)
    assert len(received) == len(set(received)) == 51


def test_new_host_waits_for_the_member_list(loop, rng, tables):
    hosts = StateHosts(loop=loop)
    members = []
    clock = LoopClock(loop=loop)
    state = StateService(
        cfg=StateSettings(),
        store=hosts.store,
        bus=hosts.network.join("e1"),
        tables=tables,
        clock=clock,
        rng=rng,
        recorder=Recorder(host="e1", zone="puno", clock=HybridClock(clock=clock)),
        joined=lambda: bool(members),
    )
    loop.spawn("e1", state.start())
    loop.run_for(600)
    assert not state.ready()
    members.append("e2")
    loop.run_for(600)
    assert state.ready()
