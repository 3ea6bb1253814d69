"""Tests of a store that comes back from an older copy and gives out revisions again."""

from mangohatch.clock import ManualClock
from mangohatch.directory import PartReading
from mangohatch.directory.part import DirectoryPart
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.store_return import ReadingOrder
from mangohatch.directory.version import era_of, format_version, make_version
from tests.directory.fleet import RENEWAL_MS, Followers
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

TICK_MS = 50.0
AWAY_MS = 1_000.0
LOST_MS = 20_000.0
STABLE_WINDOW_MS = 3_000.0  # hosts are judged again so long after the store's return
BOUND_MS = 2_000.0
UPSTREAMS = tuple(f"u{number}" for number in range(20))


@fixture
def make_fleet(loop):
    fleets = []

    def make(count, era):
        fleet = Followers(loop, count=count, tick_ms=TICK_MS)
        fleets.append(fleet)
        fleet.store.era = era
        fleet.store.put("config", "main", "v1")
        for name in UPSTREAMS:
            fleet.store.put("upstreams", name, "ready")
            fleet.store.renewed[name] = "ready"
        fleet.run(3_000.0)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def go_back(fleet):
    """Lose the writes of some time, and let the operator write the newest again."""
    copy = fleet.store.copy()
    fleet.run(LOST_MS)
    fleet.store.put("config", "main", "v2")
    fleet.run(BOUND_MS)
    fleet.store.down = True
    fleet.run(AWAY_MS)
    fleet.store.restore(copy)
    fleet.store.down = False
    fleet.store.put("config", "main", "v3")
    del fleet.store.renewed["u1"]
    fleet.store.delete("upstreams", "u1")


def find_users(fleet, name):
    names = fleet.names()
    return [host for host in names if name in names[host]]


def test_changes_after_the_store_went_back_are_in_force_in_time(make_fleet):
    """Hosts ignored the store until its revisions had passed what they knew."""
    for count in (17, 136):
        for era, bound_ms in ((None, STABLE_WINDOW_MS), (0, BOUND_MS)):
            fleet = make_fleet(count, era)
            go_back(fleet)
            fleet.run(bound_ms)
            late = fleet.hosts_without("config", "main", "v3")
            assert not late, f"{len(late)} of {count} hosts, era {era}"
            # A missing entry may belong to an upstream that has to write it again.
            fleet.run(STABLE_WINDOW_MS - bound_ms)
            users = find_users(fleet, "u1")
            assert not users, f"{len(users)} of {count} hosts, era {era}"


def test_upstreams_that_write_again_stay_in_use_after_the_store_went_back(make_fleet):
    for era in (None, 0):
        fleet = make_fleet(17, era)
        copy = fleet.store.copy()
        fleet.store.put("upstreams", "new", "ready")
        fleet.store.renewed["new"] = "ready"
        fleet.run(LOST_MS)
        fleet.store.restore(copy)
        for _ in range(int((STABLE_WINDOW_MS + RENEWAL_MS) / TICK_MS)):
            fleet.run(TICK_MS)
            assert len(find_users(fleet, "new")) == 17


def test_calls_stay_bounded_while_readings_are_older(make_fleet):
    fleet = make_fleet(136, None)
    go_back(fleet)
    calls = fleet.store.calls
    fleet.run(STABLE_WINDOW_MS)
    # Two parts, each read by every host twice a second at most.
    assert fleet.store.calls - calls <= 136 * 2 * 2 * STABLE_WINDOW_MS / 1_000


@fixture
def order():
    clock = ManualClock()
    part = DirectoryPart(name="config")
    part.update([], revision=500, read_ms=0.0, reading=1)
    return clock, part, ReadingOrder(clock=clock, cfg=FollowerSettings())


def read(clock, part, order, revision, *, era=None):
    reading = PartReading(items=[], revision=revision, written={"u": 7}, era=era)
    placed = order.place(part, reading, clock.now_ms())
    clock.advance(500.0)
    return placed


def test_single_older_reading_is_ignored(order):
    """A member of the store may be behind."""
    clock, part, readings = order
    for _ in range(10):
        assert read(clock, part, readings, 480) is None
        assert read(clock, part, readings, 500).revision == 500


def test_older_readings_are_ignored_while_peers_learn_more(order):
    clock, part, readings = order
    for _ in range(10):
        assert read(clock, part, readings, 480) is None
        part.confirm(revision=part.revision + 1, read_ms=0.0, reading=1, refresh_ms=0.0)


def test_older_readings_begin_an_era_once_they_last(order):
    clock, part, readings = order
    placed = [read(clock, part, readings, 480 + number) for number in range(4)]
    assert placed[:3] == [None] * 3
    assert (era_of(placed[3].revision), placed[3].revision) == (1, make_version(1, 483))
    assert placed[3].written == {"u": make_version(1, 7)}
    part.update([], revision=placed[3].revision, read_ms=0.0, reading=2)
    assert read(clock, part, readings, 484).revision == make_version(1, 484)


def test_named_era_is_believed_at_once(order):
    clock, part, readings = order
    assert read(clock, part, readings, 480, era=0) is None
    assert read(clock, part, readings, 480, era=1).revision == make_version(1, 480)
    part.update([], revision=make_version(1, 480), read_ms=0.0, reading=2)
    for _ in range(10):
        assert read(clock, part, readings, 900, era=0) is None


def test_versions_order_by_era_and_are_revisions_in_the_first_one():
    assert make_version(0, 12) == 12
    assert make_version(1, 3) > make_version(0, 2**52 - 1)
    assert make_version(3, 2**60) == 2**60
    assert make_version(2_047, 5) < 2**63
    assert (format_version(12), format_version(make_version(2, 12))) == (12, "2:12")
