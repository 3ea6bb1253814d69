"""Tests of spreading the directory over many hosts."""

import random

from mangohatch.directory.sender import MAX_BURST_BYTES, MAX_BYTES_MS
from tests.directory.fleet import Followers
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

IDLE_TICK_MS = 50.0
MAX_APPLY_MS = 2_000.0  # the shortest bound of the users' sites
ROUTES = 1_400
MS_PER_S = 1000.0


@fixture
def make_fleet(loop):
    def make(count, *, tick_ms=IDLE_TICK_MS):
        fleet = Followers(loop, count=count, tick_ms=tick_ms)
        fleet.store.put("config", "main", "v1")
        for number in range(160):
            fleet.store.put("upstreams", f"u{number}", make_text(number, 200))
        fleet.run(1_500.0)
        return fleet

    return make


def make_text(seed, length):
    return random.Random(seed).randbytes(length // 2).hex()


def make_configuration(version):
    """Make 280 KB that compress about as well as routes do."""
    rng = random.Random(version)
    return ",".join(
        '{"host":"h%d.example","prefix":"/%s","service":"s%d","timeout":%d,"split":'
        '[{"service":"s%d","weight":%d}],"retries":2,"methods":["GET","POST","PUT"],'
        '"hedge":false,"priority":"normal","limits":{"body":1048576,"head":8192}}'
        % (number % 300, rng.randbytes(5).hex(), *(rng.randrange(99) for _ in range(4)))
        for number in range(ROUTES)
    )


def test_change_reaches_140_hosts_within_a_second(make_fleet):
    fleet = make_fleet(140, tick_ms=10.0)
    fleet.store.put("upstreams", "u7", "changed")
    fleet.run(1_000.0)
    assert not fleet.hosts_without("upstreams", "u7", "changed")


def test_messages_of_a_host_do_not_grow_with_the_number_of_hosts(make_fleet):
    rates = []
    for count in (20, 140):
        fleet = make_fleet(count)
        before = sum(fleet.network.messages_sent.values())
        fleet.run(5_000.0)
        sent = sum(fleet.network.messages_sent.values()) - before
        rates.append(sent / count / 5.0)
    low, high = sorted(rates)
    assert high <= 1.3 * low, rates
    assert high <= 20.0, rates


def test_parts_read_at_different_times_share_messages_again(make_fleet):
    fleet = make_fleet(20)
    fleet.run(2_000.0)
    for shift_ms in (100.0, 200.0, 300.0, 400.0):
        for follower in fleet.followers.values():
            part = follower.part("config")
            part.read_ms -= shift_ms
            part.origin_ms -= int(shift_ms)
        fleet.run(2_000.0)
        before = sum(fleet.network.messages_sent.values())
        fleet.run(5_000.0)
        sent = sum(fleet.network.messages_sent.values()) - before
        assert sent / 20 / 5.0 <= 11.0, (shift_ms, sent)


def test_change_reaches_all_hosts_although_messages_are_lost(make_fleet):
    fleet = make_fleet(30)
    fleet.network.loss = 0.05
    for version in range(2, 5):
        routes = make_configuration(version)
        fleet.store.put("config", "main", routes)
        fleet.run(MAX_APPLY_MS)
        assert not fleet.hosts_without("config", "main", routes)


def test_large_configuration_reaches_140_hosts_without_filling_any_link(make_fleet):
    fleet = make_fleet(140)
    before = dict(fleet.network.bytes_sent)
    calls = fleet.store.calls
    routes = make_configuration(2)
    fleet.store.put("config", "main", routes)
    peak = 0.0
    for _ in range(4):
        fleet.run(MAX_APPLY_MS / 4)
        after = dict(fleet.network.bytes_sent)
        peak = max(peak, *(after[host] - before.get(host, 0) for host in after))
        before = after
    assert not fleet.hosts_without("config", "main", routes)
    # Headers and marks take less than a quarter of the payload.
    assert peak <= 1.25 * (MAX_BURST_BYTES + MAX_BYTES_MS * MAX_APPLY_MS / 4), peak
    # Few hosts had to read the store because no peer had served them.
    assert fleet.store.calls - calls <= 30, fleet.store.calls - calls


def test_change_of_one_entry_does_not_copy_the_whole_part(make_fleet):
    fleet = make_fleet(30)
    fleet.run(1_000.0)
    pieces = fleet.network.kinds_sent.get("DirectoryPiece", 0)
    fleet.store.put("upstreams", "u7", make_text("new", 200))
    fleet.store.delete("upstreams", "u8")
    fleet.run(1_500.0)
    expected = {f"u{number}" for number in range(160)} - {"u8"}
    assert fleet.all_have(expected)
    # A full copy has 16 pieces or more, the change one; some are sent twice.
    sent = fleet.network.kinds_sent["DirectoryPiece"] - pieces
    assert sent <= 2 * 29, sent
