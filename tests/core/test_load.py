"""Tests of the load view of an upstream."""

from mangohatch.core.load import LoadView, UpstreamLoad
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


def make_load(running=0, waiting=0, slowdown=1.0):
    return UpstreamLoad(running=running, waiting=waiting, slots=2, slowdown=slowdown)


@fixture
def view():
    return LoadView()


def test_requests_sent_after_a_report_are_added_to_it(view):
    view.observe(make_load(running=1), measured_ms=100.0)
    view.begin(101.0)
    view.begin_at_peer("h2", 7, 102.0)
    assert view.occupancy() == 3


def test_requests_that_a_report_counts_are_not_counted_twice(view):
    view.begin(90.0)
    view.begin_at_peer("h2", 7, 95.0)
    view.observe(make_load(running=2), measured_ms=100.0)
    assert view.occupancy() == 2


def test_ends_after_a_report_are_subtracted(view):
    view.begin(90.0)
    view.begin_at_peer("h2", 7, 95.0)
    view.observe(make_load(running=2), measured_ms=100.0)
    view.end(90.0, 110.0)
    view.end_at_peer("h2", 7, 111.0)
    assert view.occupancy() == 0


def test_end_of_an_unreported_request_subtracts_nothing(view):
    view.observe(make_load(running=1), measured_ms=100.0)
    view.begin(105.0)
    view.end(105.0, 110.0)
    assert view.occupancy() == 1


def test_end_with_lost_start_is_subtracted(view):
    view.observe(make_load(running=1), measured_ms=100.0)
    view.end_at_peer("h2", 8, 110.0)
    assert view.occupancy() == 0


def test_occupancy_is_at_least_the_own_requests(view):
    view.begin(90.0)
    view.observe(make_load(running=0), measured_ms=100.0)
    assert view.occupancy() == 1


def test_lost_ends_of_peers_do_not_accumulate(view):
    for token in range(1_000):
        view.begin_at_peer("h2", token, float(token))
    assert len(view.peer_requests) <= 64
    view.observe(make_load(), measured_ms=2_000.0)
    assert view.occupancy() == 0


def test_older_report_is_ignored(view):
    view.observe(make_load(running=1), measured_ms=100.0)
    assert not view.observe(make_load(running=5), measured_ms=99.0)
    assert view.occupancy() == 1


def test_progress_uses_the_speed_of_each_interval(view):
    view.observe(make_load(slowdown=1.0), measured_ms=0.0)
    view.observe(make_load(slowdown=4.0), measured_ms=100.0)
    assert view.progress_ms(50.0, 140.0) == 50.0 + 10.0
    assert view.progress_ms(120.0, 140.0) == 5.0
