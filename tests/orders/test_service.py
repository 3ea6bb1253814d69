"""Tests of orders in a fleet of several hosts."""

from tests.functions import fixture, function_tests
from tests.orders.fleet import SERVICE, OrderHosts

load_tests = function_tests(__name__)

MAX_ACCEPT_MS = 6000.0


@fixture
def order_hosts(loop):
    return OrderHosts(loop=loop)


def revision(hosts):
    return hosts.stored().revision


def test_accepted_order_is_active_on_every_host(loop, order_hosts):
    started_s = loop.time()
    record = order_hosts.order("e1", f"set deadline_ms of {SERVICE} to 5000")
    assert (record.state, record.reason) == ("accepted", "")
    assert (loop.time() - started_s) * 1000 <= MAX_ACCEPT_MS
    assert order_hosts.deadlines() == {5000.0}
    assert record.revision == revision(order_hosts)


def test_every_kind_of_order_takes_effect(order_hosts):
    texts = (
        f"drain upstream u1 of {SERVICE}",
        f"undrain upstream u1 of {SERVICE}",
        f"add upstream u9 to {SERVICE} at 127.0.0.1:9 in puno with 3 slots",
        f"remove upstream u2 of {SERVICE}",
        f"set measuring.calls_per_second of {SERVICE} to 3",
        'declare service {"name": "archivo-himnos", "path_prefix": "/archivo"}',
    )
    for text in texts:
        assert order_hosts.order("e2", text).state == "accepted", text
    for tables in order_hosts.tables().values():
        row = tables.services[SERVICE]
        assert set(row.upstreams) == {"u1", "u3", "u9"}
        assert row.upstreams["u9"].slots == 3
        assert row.spec.measuring.calls_per_second == 3.0
        assert "archivo-himnos" in tables.services


def test_invalid_orders_are_refused_with_the_reason(order_hosts):
    before = revision(order_hosts)
    texts = {
        f"set deadline_ms of {SERVICE} to 0": "greater than 0",
        f"set deadline_ms of {SERVICE} to soon": "deadline_ms",
        "set deadline_ms of nothing to 5": "no service nothing",
        f"drain upstream u7 of {SERVICE}": "no upstream u7",
        f"add upstream u1 to {SERVICE} at 127.0.0.1:9 in puno": "not unique",
        'declare service {"name": "x"}': "path_prefix",
        'declare service {"name": "x", "path_prefix": "/tablero-misa"}': SERVICE,
    }
    for text, reason in texts.items():
        record = order_hosts.order("e1", text)
        assert record.state == "refused", text
        assert reason in record.reason, record.reason
    assert revision(order_hosts) == before


def test_order_in_a_store_outage_is_refused_at_once(loop, order_hosts):
    order_hosts.hosts.objects.faults.outage = True
    before = revision(order_hosts)
    started_s = loop.time()
    record = order_hosts.order("e1", f"set deadline_ms of {SERVICE} to 5000")
    assert (record.state, record.code) == ("refused", "order_store_unavailable")
    assert (loop.time() - started_s) * 1000 <= 2000
    order_hosts.hosts.objects.faults.outage = False
    loop.run_for(20_000)
    assert revision(order_hosts) == before


def test_silent_host_refuses_the_order_and_nothing_is_written(loop, order_hosts):
    before = revision(order_hosts)
    loop.pause("e3")
    record = order_hosts.order("e1", f"set deadline_ms of {SERVICE} to 5000")
    assert (record.state, record.code) == ("refused", "order_votes_missing")
    assert "e3" in record.reason
    loop.resume("e3")
    loop.run_for(20_000)
    assert revision(order_hosts) == before


def test_host_that_dies_after_the_write_leaves_the_order_pending(loop, order_hosts):
    task = order_hosts.start("e1", f"set deadline_ms of {SERVICE} to 5000", "o-1")
    before = revision(order_hosts)
    while revision(order_hosts) == before:
        loop.run_for(1)
    loop.pause("e3")
    record = loop.run_until_complete(task)
    assert (record.state, record.waiting_for) == ("pending", ("e3",))
    loop.resume("e3")
    loop.run_for(5000)
    latest = order_hosts.orders["e1"].records()[-1]
    assert latest.state == "accepted"
    assert order_hosts.deadlines() == {5000.0}


def test_lost_write_response_is_resolved(order_hosts):
    order_hosts.hosts.objects.faults.lost_answers = 1
    record = order_hosts.order("e1", f"set deadline_ms of {SERVICE} to 5000")
    assert record.state == "accepted"
    assert revision(order_hosts) == record.revision


def test_outage_during_the_write_leaves_the_order_pending_until_resolved(
    loop, order_hosts
):
    order_hosts.hosts.objects.faults.lost_answers = 1
    order_hosts.hosts.objects.faults.silent_watches = True
    task = order_hosts.start("e1", f"set deadline_ms of {SERVICE} to 5000")
    before = revision(order_hosts)
    while revision(order_hosts) == before:
        loop.run_for(1)
    order_hosts.hosts.objects.faults.outage = True
    record = loop.run_until_complete(task)
    assert record.state == "pending", record
    order_hosts.hosts.objects.faults.outage = False
    order_hosts.hosts.objects.faults.silent_watches = False
    loop.run_for(30_000)
    assert order_hosts.orders["e1"].records()[-1].state == "accepted"
    assert order_hosts.deadlines() == {5000.0}


def test_one_of_two_concurrent_orders_is_refused_as_conflict(loop, order_hosts):
    first = order_hosts.start("e1", f"set deadline_ms of {SERVICE} to 5000")
    second = order_hosts.start("e2", f"set deadline_ms of {SERVICE} to 7000")
    records = [loop.run_until_complete(first), loop.run_until_complete(second)]
    states = sorted(record.state for record in records)
    assert states == ["accepted", "refused"], records
    winner = next(record for record in records if record.state == "accepted")
    loser = next(record for record in records if record.state == "refused")
    assert loser.code == "order_conflict"
    assert winner.order_id in loser.reason or "is known here" in loser.reason
    assert len(order_hosts.deadlines()) == 1


def test_same_order_id_is_the_same_order(order_hosts):
    text = f"set deadline_ms of {SERVICE} to 5000"
    first = order_hosts.order("e1", text, "o-1")
    before = revision(order_hosts)
    assert order_hosts.order("e1", text, "o-1") == first
    assert revision(order_hosts) == before


def test_order_that_changes_nothing_writes_nothing(order_hosts):
    before = revision(order_hosts)
    record = order_hosts.order("e1", f"undrain upstream u1 of {SERVICE}")
    assert (record.state, record.revision) == ("accepted", before)
    assert revision(order_hosts) == before


def test_lost_messages_do_not_stop_an_order(order_hosts):
    order_hosts.hosts.network.faults.loss = 0.2
    record = order_hosts.order("e1", f"set deadline_ms of {SERVICE} to 5000")
    assert record.state == "accepted"
    assert order_hosts.deadlines() == {5000.0}
