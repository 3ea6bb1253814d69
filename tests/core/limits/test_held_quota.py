"""Tests of the permits that hosts hold for the next requests of an account."""

from dataclasses import replace

from mangohatch.core.limits.held_quota import HOLD_MS, HeldQuota
from tests.core.limits import test_quotas
from tests.core.limits.test_quotas import ACCOUNT, BOUNDS, take_all, wait
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def hosts(network, clock):
    return test_quotas.hosts(network, clock)


@fixture
def held():
    made = HeldQuota(account=ACCOUNT)
    made.take(0.0)
    made.ask(1, 0.0)
    return made


def test_permits_end_after_their_time(held):
    held.add(1, 2)
    assert held.take(HOLD_MS)
    assert not held.take(HOLD_MS + 1.0)


def test_duplicate_and_unexpected_answers_add_nothing(held):
    held.add(1, 1)
    held.add(1, 1)
    held.add(7, 1)
    assert [held.take(1.0), held.take(2.0)] == [True, False]


def test_host_asks_for_as_many_permits_as_requests_came_lately(held):
    assert held.ask(2, 1.0) == 0  # the first message has asked already
    held.take(2.0)
    assert held.ask(3, 2.0) == 1
    assert held.ask(4, 10_000.0) == 2  # the answers are lost
    held.take(20_000.0)
    assert held.ask(5, 20_000.0) == 1


def test_held_permits_need_no_answer_and_keep_the_bound(hosts, clock, network):
    owner, (asker, _) = hosts
    owner.call("first")
    wait(clock, [owner], 5_000.0)
    for number in range(4):
        asker.call(f"r{number}")
        network.deliver()
    asker.call("now")
    assert "now" in asker.router.waiting  # no message was delivered
    network.queue.clear()
    taken = sum(name.startswith(("r", "now")) for name in asker.router.waiting)
    held = 0
    while asker.permits._held[ACCOUNT.name].take(clock.now_ms()):
        held += 1
    assert held
    assert taken + held + take_all(owner) <= BOUNDS.capacity(ACCOUNT) + 1.0


def test_held_permits_end_with_a_changed_limit(hosts, clock, network):
    owner, (asker, _) = hosts
    owner.call("first")
    wait(clock, [owner], 5_000.0)
    for number in range(4):
        asker.call(f"r{number}")
        network.deliver()
    asker.accounts.replace([replace(ACCOUNT, per_s=1.0)])
    asker.call("later")
    assert "later" not in asker.router.waiting
