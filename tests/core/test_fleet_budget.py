"""Tests of the retry budget that hosts share without messages."""

from mangohatch.core.call import Call
from mangohatch.core.retry import FleetRetryBudget
from tests.functions import function_tests

load_tests = function_tests(__name__)

RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0


def make_call(service="desk"):
    return Call(
        request_id="r",
        service=service,
        arrived_ms=0.0,
        deadline_ms=1000.0,
        idempotent=True,
    )


def make_hosts(clock, *, count, known_hosts):
    return [
        FleetRetryBudget(
            clock=clock,
            ratio=RATIO,
            slack=SLACK,
            window_ms=WINDOW_MS,
            count_hosts=lambda: known_hosts,
        )
        for _ in range(count)
    ]


def simulate(hosts, clock, *, seconds, per_second):
    """Retry as often as budgets allow; return the times of requests and retries."""
    times = []
    requests = []
    for _ in range(seconds * 10):
        clock.advance(100.0)
        for host in hosts:
            for _ in range(per_second // 10):
                host.earn(make_call())
                requests.append(clock.now_ms())
            while host.allow(make_call()):
                times.append(clock.now_ms())
    return requests, times


def max_excess(requests, times):
    excess = 0.0
    for start in times:
        end = start + WINDOW_MS
        retries = sum(start <= at < end for at in times)
        during = sum(start <= at < end for at in requests)
        before = sum(start - WINDOW_MS <= at < start for at in requests)
        excess = max(excess, retries - RATIO * max(during, before) - SLACK)
    return excess


def test_all_hosts_together_stay_within_the_budget(clock):
    for count, known_hosts in ((13, 13), (17, 17), (13, 1), (40, 40)):
        hosts = make_hosts(clock, count=count, known_hosts=known_hosts)
        requests, times = simulate(hosts, clock, seconds=25, per_second=10)
        assert times
        assert max_excess(requests, times) <= 0.0


def test_budget_holds_when_the_load_falls(clock):
    hosts = make_hosts(clock, count=13, known_hosts=13)
    requests, times = simulate(hosts, clock, seconds=12, per_second=40)
    later, more = simulate(hosts, clock, seconds=12, per_second=10)
    assert max_excess(requests + later, times + more) <= 0.0


def test_services_have_separate_budgets(clock):
    (host,) = make_hosts(clock, count=1, known_hosts=1)
    while host.allow(make_call("desk")):
        pass
    assert host.allow(make_call("vault"))


def test_silent_hosts_still_count(clock):
    known_hosts = [40]
    host = FleetRetryBudget(
        clock=clock,
        ratio=RATIO,
        slack=SLACK,
        window_ms=WINDOW_MS,
        count_hosts=lambda: known_hosts[0],
    )
    assert host.allow(make_call())
    known_hosts[0] = 1
    assert not host.allow(make_call())
