"""Tests of the order in which hosts may take a freed slot."""

from collections import Counter

from mangohatch.core.contention import ContentionOrder, ContentionSettings
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

HOSTS = 17
WINDOW_MS = ContentionSettings().window_ms
EVENTS = 2_000


@fixture
def hosts(clock):
    """Hosts that all have waiting calls and have received each other's demand."""
    contention = [
        ContentionOrder(clock=clock, host_id=f"h{number}") for number in range(HOSTS)
    ]
    for order in contention:
        for other in contention:
            if other is not order:
                order.record_demand("desk", other.host_id, 1.0)
    return contention


def test_each_freed_slot_is_offered_to_one_host_first(hosts):
    for number in range(EVENTS):
        delays = [host.delay_ms("desk", f"u/{number}", 1.0) for host in hosts]
        assert delays.count(0.0) == 1
        assert delays.count(WINDOW_MS) == 1


def test_freed_slots_are_spread_over_the_waiting_hosts(hosts):
    first = Counter(
        host.host_id
        for number in range(EVENTS)
        for host in hosts
        if host.delay_ms("desk", f"u/{number}", 1.0) == 0.0
    )
    assert len(first) == HOSTS
    assert max(first.values()) < 1.5 * EVENTS / HOSTS


def test_host_that_waits_more_urgently_is_first_more_often(clock):
    busy, calm = (
        ContentionOrder(clock=clock, host_id=name) for name in ("busy", "calm")
    )
    busy.record_demand("desk", "calm", 1.0)
    calm.record_demand("desk", "busy", 4.0)
    first = sum(busy.delay_ms("desk", f"{n}", 4.0) == 0.0 for n in range(EVENTS))
    assert abs(first / EVENTS - 0.8) < 0.03
    assert first == sum(calm.delay_ms("desk", f"{n}", 1.0) > 0.0 for n in range(EVENTS))


def test_host_without_waiting_calls_comes_last(hosts):
    max_windows = ContentionSettings().max_windows
    assert hosts[0].delay_ms("desk", "u/1", 0.0) == max_windows * WINDOW_MS


def test_freed_slot_is_available_at_once_without_demand(clock):
    contention = ContentionOrder(clock=clock, host_id="h1")
    assert contention.delay_ms("desk", "u/1", 0.0) == 0.0


def test_demand_ends_when_its_host_reports_none(clock):
    contention = ContentionOrder(clock=clock, host_id="h1")
    contention.record_demand("desk", "h2", 1.0)
    contention.record_demand("desk", "h2", 0.0)
    assert contention.delay_ms("desk", "u/1", 0.0) == 0.0


def test_demand_of_a_silent_host_expires(clock):
    contention = ContentionOrder(clock=clock, host_id="h1")
    contention.record_demand("desk", "h2", 1.0)
    clock.advance(ContentionSettings().demand_ttl_ms + 1.0)
    assert contention.delay_ms("desk", "u/1", 0.0) == 0.0


def test_demand_for_one_service_does_not_affect_another(clock):
    contention = ContentionOrder(clock=clock, host_id="h1")
    contention.record_demand("desk", "h2", 1.0)
    assert contention.delay_ms("vault", "u/1", 0.0) == 0.0
