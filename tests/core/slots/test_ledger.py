"""Tests of the ledger of slots."""

import random

from hypothesis import given, settings, strategies as st

from mangohatch.clock import ManualClock
from mangohatch.core.slots import Ledger, SpeedTable
from mangohatch.core.tables import Tables
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


def make_ledger(*, upstreams=3, slots=2):
    tables = Tables()
    tables.apply(make_service(upstreams=upstreams, slots=slots), revision=1)
    ledger = Ledger(rng=random.Random(1), speeds=SpeedTable(clock=ManualClock()))
    ledger.sync(tables.services["tablero-misa"].upstreams.values())
    return ledger


@fixture
def ledger():
    return make_ledger()


def find(ledger, *, zone="puno", avoid=(), is_open=lambda row: True):
    return ledger.find(zone=zone, avoid=avoid, is_open=is_open, now_ms=0.0)


def lease(ledger, holder="h1", until_ms=100.0, **options):
    slot = find(ledger, **options)
    return slot and ledger.lease(slot, holder=holder, until_ms=until_ms)


def test_each_slot_is_leased_once(ledger):
    leases = [lease(ledger) for _ in range(7)]
    assert leases[6] is None
    assert len({item.token for item in leases[:6]}) == 6
    assert all(slot.used == 2 for slot in ledger.slots.values())


def test_ended_lease_frees_its_slot(ledger):
    leases = [lease(ledger) for _ in range(6)]
    ledger.end(leases[2].token)
    assert ledger.end(leases[2].token) is None
    assert find(ledger).row.name == leases[2].upstream


def test_expired_leases_end(ledger):
    for _ in range(6):
        lease(ledger, until_ms=100.0)
    assert ledger.expire(99.0) == []
    assert len(ledger.expire(100.0)) == 6
    assert ledger.held == {}


def test_empty_upstream_goes_first(ledger):
    names = {lease(ledger).upstream for _ in range(3)}
    assert names == {"u1", "u2", "u3"}


def test_closed_and_avoided_upstreams_are_not_found(ledger):
    slot = find(ledger, avoid=("u1",), is_open=lambda row: row.name != "u2")
    assert slot.row.name == "u3"


def test_faster_upstream_goes_first():
    clock = ManualClock()
    speeds = SpeedTable(clock=clock)
    for name, latency_ms in (("u1", 30.0), ("u2", 5.0), ("u3", 30.0)):
        speeds.record(name, latency_ms)
    tables = Tables()
    tables.apply(make_service(), revision=1)
    ledger = Ledger(rng=random.Random(1), speeds=speeds)
    ledger.sync(tables.services["tablero-misa"].upstreams.values())
    assert find(ledger).row.name == "u2"


def test_slowness_is_forgotten_with_age():
    clock = ManualClock()
    speeds = SpeedTable(clock=clock)
    speeds.record("u1", 10.0)
    speeds.record("u2", 50.0)
    early_ms = speeds.excess_ms("u2", clock.now_ms())
    clock.advance(1_000.0)
    assert early_ms > 10.0
    assert abs(speeds.excess_ms("u2", clock.now_ms())) < 0.001


def test_lower_limit_withholds_slots(ledger):
    for name in ledger.slots:
        ledger.set_limit(name, 1)
    assert [lease(ledger) is not None for _ in range(4)] == [True] * 3 + [False]


def test_removed_upstream_ends_its_leases(ledger):
    for _ in range(6):
        lease(ledger)
    kept = [slot.row for name, slot in ledger.slots.items() if name != "u2"]
    ledger.sync(kept)
    assert len(ledger.leases) == 4
    assert find(ledger) is None


def test_lease_of_another_broker_is_counted_beyond_the_limit(ledger):
    first = lease(ledger)
    for token in (1, 2, 3):
        ledger.adopt(
            type(first)(token=token, upstream="u1", holder="h2", until_ms=100.0)
        )
    assert ledger.slots["u1"].free == 0
    assert ledger.held["h2"] == 3


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("lease", "end", "limit", "expire")),
        st.integers(min_value=0, max_value=11),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=100, deadline=None, database=None)
@given(STEPS)
def check_ledger(steps):
    ledger = make_ledger(upstreams=4)
    now_ms = 0.0
    for action, value in steps:
        tokens = list(ledger.leases)
        names = list(ledger.slots)
        if action == "lease":
            before = {name: slot.free for name, slot in ledger.slots.items()}
            made = lease(ledger, holder=f"h{value}", until_ms=now_ms + 1 + value)
            assert (made is None) == (not any(before.values()))
            assert made is None or before[made.upstream] > 0
        elif action == "end" and tokens:
            ledger.end(tokens[value % len(tokens)])
        elif action == "limit":
            ledger.set_limit(names[value % len(names)], value % 3)
        elif action == "expire":
            now_ms += 1.0
            ledger.expire(now_ms)
        for slot in ledger.slots.values():
            assert slot.used == len(slot.tokens)
        free = sum(slot.free > 0 for slot in ledger.slots.values())
        assert ledger.free_count() == free
        assert sum(ledger.held.values()) == len(ledger.leases)


def test_ledger_stays_consistent_over_any_steps():
    check_ledger()
