"""Tests of the choice of the peer that relays a connection."""

import random
from collections import Counter

from mangohatch.core.paths import RelayChooser, RelayRefusal
from mangohatch.peer.bus import MemberView
from tests.functions import fixture, function_tests
from tests.network import ManualNetwork, ManualPeerBus

load_tests = function_tests(__name__)

ZONES = {"own": "puno", "p1": "puno", "p2": "puno", "c1": "cusco", "c2": "cusco"}


class ListedBus(ManualPeerBus):
    def __init__(self, members):
        super().__init__(network=ManualNetwork(), name="own")
        self.listed = members

    def members(self):
        return self.listed


@fixture
def bus():
    return ListedBus(
        [
            MemberView(host_id=host_id, incarnation=1, zone=zone)
            for host_id, zone in ZONES.items()
        ]
    )


@fixture
def relays(clock, bus):
    return RelayChooser(clock=clock, rng=random.Random(1), bus=bus, zone="puno")


def test_peers_of_the_own_zone_come_first(relays):
    assert set([*relays.candidates()][:2]) == {"p1", "p2"}


def test_connections_are_spread_over_all_peers(relays):
    used = Counter()
    for _ in range(40):
        peer = next(relays.candidates())
        relays.record_opened(peer)
        used[peer] += 1
    assert set(used.values()) == {10}


def test_peer_that_is_cut_off_too_is_avoided_for_a_second(relays, clock):
    relays.record_refused("p1", RelayRefusal.CUT_OFF)
    assert "p1" not in [*relays.candidates()]
    clock.advance(1_000.0)
    assert "p1" in [*relays.candidates()]


def test_peer_that_was_late_is_asked_last(relays):
    for peer in ("p1", "p2", "c1"):
        relays.record_refused(peer, RelayRefusal.CUT_OFF)
    relays.record_refused("c2", None)
    assert [*relays.candidates()] == ["c2"]


def test_peer_that_did_not_reach_one_upstream_is_asked_for_others(relays):
    relays.record_refused("p1", RelayRefusal.UNREACHABLE)
    assert "p1" in [*relays.candidates()]


def test_peer_that_leaves_relays_nothing_more(relays, bus):
    bus.listed = [
        MemberView(host_id="own", incarnation=1, zone="puno"),
        MemberView(host_id="p1", incarnation=1, zone="puno", leaving=True),
    ]
    assert not [*relays.candidates()]
    assert not relays.is_usable("p1")
    assert not relays.is_usable("p2")
