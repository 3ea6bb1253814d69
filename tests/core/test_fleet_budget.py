"""Tests of the retry budget that hosts share."""

from mangohatch.core.call import Call
from mangohatch.core.limits.ownership import SETTLE_MS
from mangohatch.core.limits.retry_permits import ANSWER_MS, RetryPermits
from mangohatch.core.retry import FleetRetryBudget
from mangohatch.core.timers import NoTimers
from tests.functions import function_tests
from tests.network import ManualNetwork, ManualPeerBus

load_tests = function_tests(__name__)
SPLIT_CASES = True

RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0
SERVICES = ("desk", "vault")
STEP_MS = 100.0


def make_call(service="desk"):
    return Call(
        request_id="r",
        service=service,
        arrived_ms=0.0,
        deadline_ms=1000.0,
        idempotent=True,
    )


class Host:
    """The budget of one process."""

    def __init__(self, clock, network, name):
        self.name = name
        self.network = network
        self.permits = RetryPermits(
            clock=clock,
            bus=ManualPeerBus(network=network, name=name),
            timers=NoTimers(),
            services=lambda: SERVICES,
            slack=SLACK,
            window_ms=WINDOW_MS,
        )
        self.budget = FleetRetryBudget(
            clock=clock, ratio=RATIO, window_ms=WINDOW_MS, permits=self.permits
        )

    def retry(self, service="desk"):
        answers = []
        self.budget.request(make_call(service), answers.append)
        self.network.deliver()
        return answers == [True]


class Fleet:
    """Processes that retry as often as they may; counts requests and retries."""

    def __init__(self, clock, *, hosts, cut=False):
        self.clock = clock
        self.network = ManualNetwork()
        self.cut = cut
        self.requests = []
        self.retries = []
        self.hosts = [self.start(number) for number in range(hosts)]

    def start(self, number):
        network = ManualNetwork() if self.cut else self.network
        return Host(self.clock, network, f"h{number}")

    def restart(self):
        self.hosts = [self.start(number) for number in range(len(self.hosts))]

    def run(self, seconds, *, per_second=0, retries=True):
        for _ in range(round(seconds * 1000.0 / STEP_MS)):
            self.clock.advance(STEP_MS)
            for host in self.hosts:
                host.permits.tick()
                for _ in range(per_second // 10):
                    host.budget.earn(make_call())
                    self.requests.append(self.clock.now_ms())
                while retries and host.retry():
                    self.retries.append(self.clock.now_ms())

    def worst(self):
        """Return the largest excess of retries over what some window allows."""
        excess = -SLACK
        for start in self.retries:
            end = start + WINDOW_MS
            retries = sum(start <= at < end for at in self.retries)
            during = sum(start <= at < end for at in self.requests)
            before = sum(start - WINDOW_MS <= at < start for at in self.requests)
            excess = max(excess, retries - RATIO * max(during, before) - SLACK)
        return excess


def test_all_hosts_together_stay_within_the_budget(clock):
    for count in (2, 13, 17, 40):
        fleet = Fleet(clock, hosts=count)
        fleet.run(25.0, per_second=10)
        assert fleet.retries
        assert fleet.worst() <= 0.0


def test_budget_holds_when_the_load_falls(clock):
    fleet = Fleet(clock, hosts=13)
    fleet.run(12.0, per_second=40)
    fleet.run(12.0, per_second=10)
    assert fleet.worst() <= 0.0


def test_budget_holds_over_restarts_of_all_hosts_in_one_window(clock):
    for count, restarts in ((13, 2), (17, 1), (19, 1), (101, 1)):
        fleet = Fleet(clock, hosts=count)
        fleet.run(12.0, retries=False)
        for _ in range(restarts + 1):
            fleet.run(3.0)
            fleet.restart()
        fleet.run(8.0)
        assert fleet.worst() <= 0.0


def test_hosts_that_hear_no_peer_have_no_slack(clock):
    fleet = Fleet(clock, hosts=101, cut=True)
    fleet.run(25.0)
    assert not fleet.retries
    fleet.run(10.0, per_second=10)
    assert 0 < len(fleet.retries) <= RATIO * len(fleet.requests)


def test_one_host_may_use_nine_tenths_of_the_slack(clock):
    fleet = Fleet(clock, hosts=13)
    fleet.run(SETTLE_MS / 1000.0 + 10.0, retries=False)
    fleet.hosts, others = fleet.hosts[:1], fleet.hosts[1:]
    for _ in range(100):
        for host in others:
            host.permits.tick()
        fleet.run(STEP_MS / 1000.0)
    assert fleet.worst() <= 0.0
    assert len(fleet.retries) >= 0.9 * SLACK


def test_parts_of_a_partitioned_fleet_stay_within_the_budget(clock):
    fleet = Fleet(clock, hosts=16)
    fleet.run(12.0, retries=False)
    sides = ManualNetwork(), ManualNetwork()
    for number, host in enumerate(fleet.hosts):
        side = sides[number % 2]
        side.buses[host.name] = fleet.network.buses[host.name]
        side.buses[host.name]._network = side
        host.network = side
    fleet.run(25.0)
    assert fleet.retries
    assert fleet.worst() <= 0.0


def test_services_have_separate_budgets(clock):
    fleet = Fleet(clock, hosts=2)
    fleet.run(12.0, retries=False)
    host = fleet.hosts[0]
    while host.retry("desk"):
        pass
    assert host.retry("vault")


def test_answer_that_comes_late_permits_nothing(clock):
    fleet = Fleet(clock, hosts=2)
    fleet.run(12.0, retries=False)
    asking = next(
        host for host in fleet.hosts if not host.permits._ownership.owns("desk")
    )
    answers = []
    asking.budget.request(make_call(), answers.append)
    clock.advance(ANSWER_MS + 1.0)
    fleet.network.deliver()
    assert answers == [False]
