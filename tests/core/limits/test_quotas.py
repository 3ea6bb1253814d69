"""Tests of the gate, the permits and the owners of quotas, without a fleet."""

import random
from dataclasses import replace

from mangohatch.core.accounts import Account, AccountTable, digest_key
from mangohatch.core.call import Call, Grant, Refusal, Report, Result
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.limits.quota_gate import PERMIT_MS, QuotaGate
from mangohatch.core.limits.quotas import QuotaPermits
from mangohatch.errors import KeyRejected, QuotaExceeded, QuotaUnanswered
from mangohatch.peer.messages.quotas import QuotaAnswer, QuotaRequest, QuotaReturn
from tests.core.limits.test_permits import StepTimers
from tests.functions import fixture, function_tests
from tests.network import ManualPeerBus

load_tests = function_tests(__name__)

KEY = "kn2ftimaj3nr26tta828"
ACCOUNT = Account(
    name="kaje80", key_digests=frozenset({digest_key(KEY)}), per_s=10.0, burst=20.0
)
BOUNDS = QuotaBounds(window_ms=5_000.0, over=0.1, slack=20.0)
MATURE_MS = 10_000.0


class QueueRouter:
    """A router whose calls wait until the test places them."""

    def __init__(self):
        self.waiting = {}
        self.released = []

    def request(self, call, deliver):
        self.waiting[call.request_id] = (call, deliver)

    def cancel(self, call):
        self.waiting.pop(call.request_id)

    def release(self, grant, report):
        self.released.append((grant.call.request_id, report.result))

    def tick(self):
        pass

    def place(self, name):
        call, deliver = self.waiting.pop(name)
        deliver(Grant(call=call, upstream=None, granted_ms=0.0))


class Host:
    """A host with a gate; ``decisions`` holds what its calls got."""

    def __init__(self, *, network, clock, name, bounds=BOUNDS):
        self.clock = clock
        self.decisions = {}
        self.accounts = AccountTable()
        self.accounts.replace([ACCOUNT])
        self.timers = StepTimers(clock)
        self.router = QueueRouter()
        self.permits = QuotaPermits(
            clock=clock,
            rng=random.Random(name),
            bus=ManualPeerBus(network=network, name=name),
            timers=self.timers,
            accounts=self.accounts,
            bounds=bounds,
        )
        self.gate = QuotaGate(
            clock=clock,
            router=self.router,
            accounts=self.accounts,
            permits=self.permits,
            timers=self.timers,
        )

    def call(self, name, account=ACCOUNT.name):
        now_ms = self.clock.now_ms()
        call = Call(
            request_id=name,
            service="desk",
            arrived_ms=now_ms,
            deadline_ms=now_ms + 6_000.0,
            idempotent=True,
            account=account,
            key_digest=digest_key(KEY),
        )
        self.gate.request(call, lambda item: self.decisions.__setitem__(name, item))
        return call

    def refused_as(self, name):
        decision = self.decisions.get(name)
        return type(decision.error) if isinstance(decision, Refusal) else None


@fixture
def hosts(network, clock):
    names = [f"h{number}" for number in range(3)]
    made = [Host(network=network, clock=clock, name=name) for name in names]
    wait(clock, made, MATURE_MS)
    owner = next(item for item in made if item.permits._members.owns(ACCOUNT.name))
    return owner, [item for item in made if item is not owner]


def wait(clock, hosts, span_ms):
    for _ in range(int(span_ms / 50)):
        clock.advance(50.0)
        for host in hosts:
            host.timers.run()
            host.gate.tick()


def take_all(host):
    """Use up the tokens of an account at its owner; return how many there were."""
    host.router.waiting.clear()
    for number in range(100):
        host.call(f"x{number}")
        if f"x{number}" not in host.router.waiting:
            return number
    return 100


def test_permit_of_the_owner_lets_a_call_to_the_router(hosts, network):
    _, (asker, _) = hosts
    asker.call("r1")
    assert not asker.router.waiting
    assert [type(message) for _, _, message in network.queue] == [QuotaRequest]
    network.deliver()
    asker.router.place("r1")
    assert isinstance(asker.decisions["r1"], Grant)


def test_accounts_without_a_limit_and_calls_without_one_cause_no_message(
    hosts, network
):
    _, (asker, _) = hosts
    asker.accounts.replace([replace(ACCOUNT, per_s=0.0)])
    asker.call("r1")
    asker.call("r2", account="")
    assert set(asker.router.waiting) == {"r1", "r2"}
    assert not network.queue


def test_call_above_the_quota_is_refused_at_once_with_the_time_of_its_token(
    hosts, clock, network
):
    owner, (asker, _) = hosts
    owner.call("first")
    wait(clock, [owner], 5_000.0)
    assert take_all(owner) < 100
    retry_ms = []
    for number in range(20):
        asker.call(f"r{number}")
        network.deliver()
        assert asker.refused_as(f"r{number}") is QuotaExceeded
        retry_ms.append(asker.decisions[f"r{number}"].error.retry_after_ms)
    # The 20th of them gets the 20th token, two seconds later, with a jitter of 20 %.
    assert all(90.0 * (n + 1) <= at <= 125.0 * (n + 3) for n, at in enumerate(retry_ms))
    assert len({round(at) for at in retry_ms}) == len(retry_ms)


def test_call_without_an_answer_is_refused_as_not_run(hosts, clock, network):
    owner, (asker, _) = hosts
    network.disconnected_hosts.add(owner.permits._bus.host_id)
    asker.call("r1")
    for _ in range(60):
        network.deliver()
        wait(clock, [asker], 50.0)
    assert asker.refused_as("r1") is QuotaUnanswered
    assert asker.decisions["r1"].error.retry_after_ms > 0.0


def test_lost_message_is_repeated(hosts, clock, network):
    _, (asker, _) = hosts
    asker.call("r1")
    network.queue.clear()
    wait(clock, [asker], 50.0)
    network.deliver()
    assert "r1" in asker.router.waiting


def test_attempt_that_has_not_run_returns_its_permit(hosts, clock, network):
    owner, (asker, _) = hosts
    for result, not_run, returned in (
        (Result.REFUSED, True, 1),
        (Result.UNREACHABLE, True, 1),
        (Result.ABORTED, False, 0),
        (Result.OK, False, 0),
    ):
        asker.call("r1")
        network.deliver()
        asker.router.place("r1")
        report = Report(result=result, latency_ms=1.0, not_run=not_run)
        asker.gate.release(asker.decisions["r1"], report)
        returns = [item for _, _, item in network.queue if type(item) is QuotaReturn]
        assert len(returns) == returned, result
        network.deliver()


def test_permit_of_a_call_that_waits_for_long_is_void(hosts, clock, network):
    _, (asker, _) = hosts
    asker.call("r1")
    network.deliver()
    wait(clock, [asker], PERMIT_MS + 50.0)
    assert type(network.queue[-1][2]) is QuotaReturn
    network.deliver()
    asker.router.place("r1")
    assert "r1" not in asker.decisions  # it asks again before it is sent
    network.deliver()
    assert isinstance(asker.decisions["r1"], Grant)


def test_permit_is_void_after_a_pause_of_its_host(hosts, clock, network):
    _, (asker, _) = hosts
    asker.call("r1")
    network.deliver()
    clock.advance(2_000.0)  # messages are handled before the timers
    asker.router.place("r1")
    assert "r1" not in asker.decisions
    assert type(network.queue[-1][2]) is QuotaRequest


def test_answer_to_a_message_from_long_ago_permits_nothing(hosts, clock, network):
    _, (asker, _) = hosts
    asker.call("r1")
    number = network.queue[0][2].number
    network.queue.clear()
    wait(clock, [asker], 250.0)
    network.queue.clear()
    late = QuotaAnswer(account=ACCOUNT.name, number=number, granted=True)
    asker.permits._receive_answer("h0", late)
    assert "r1" not in asker.router.waiting


def test_answer_permits_one_request_however_often_it_arrives(hosts, clock, network):
    _, (asker, _) = hosts
    asker.call("r1")
    asker.call("r2")
    number = network.queue[0][2].number
    network.queue.clear()
    wait(clock, [asker], 50.0)
    answer = QuotaAnswer(account=ACCOUNT.name, number=number, granted=True)
    for _ in range(2):
        asker.permits._receive_answer("h0", answer)
    assert list(asker.router.waiting) == ["r1"]


def test_requests_that_wait_for_a_late_owner_cause_one_message_at_a_time(
    hosts, clock, network
):
    owner, (asker, _) = hosts
    owner.call("first")
    wait(clock, [owner], 5_000.0)
    sent = []
    for number in range(200):
        asker.call(f"r{number}")
        sent += network.queue
        network.queue.clear()
        wait(clock, [asker], 50.0 if number % 20 == 0 else 0.0)
    # 0.5 s without an answer: the first message, and repeats ever later.
    assert len(sent) <= 6, len(sent)


def test_owner_that_answers_late_permits_requests_all_the_same(hosts, clock, network):
    owner, (asker, _) = hosts
    owner.call("first")
    wait(clock, [owner], 5_000.0)
    for number in range(10):
        asker.call(f"r{number}")
    for _ in range(30):
        late, network.queue = list(network.queue), []
        wait(clock, [asker], 100.0)
        later, network.queue = list(network.queue), late
        network.deliver()
        network.queue += later
    assert len(asker.router.waiting) == 10


def test_messages_on_their_way_to_a_late_owner_do_not_add_up(hosts, clock, network):
    owner, (asker, _) = hosts
    owner.accounts.replace([replace(ACCOUNT, per_s=100.0, burst=200.0)])
    asker.accounts.replace([replace(ACCOUNT, per_s=100.0, burst=200.0)])
    wait(clock, [owner], 5_000.0)
    delayed = []
    most = 0
    for step in range(40):
        for number in range(10):
            asker.call(f"r{step}-{number}")
        now_ms = clock.now_ms()
        delayed += [(now_ms + 100.0, item) for item in network.queue]
        network.queue = [item for at_ms, item in delayed if at_ms <= now_ms]
        delayed = [item for item in delayed if item[0] > now_ms]
        asked = [item for _, item in delayed if type(item[2]) is QuotaRequest]
        most = max(most, len(asked))
        late, network.queue = network.queue, []
        for sender, receiver, message in late:
            network.buses[receiver].handlers[type(message)](sender, message)
        wait(clock, [owner, asker], 50.0)
    # One of a request, one of a report, and those repeated before the delay was known.
    assert most <= 5, most


def test_refusal_holds_for_all_that_wait_and_for_those_that_follow_at_once(
    hosts, clock, network
):
    owner, (asker, _) = hosts
    owner.call("first")
    wait(clock, [owner], 5_000.0)
    assert take_all(owner) < 100
    for number in range(10):
        asker.call(f"r{number}")
    network.deliver()
    asker.call("later")
    assert not network.queue
    refused = [asker.decisions[f"r{number}"].error for number in range(10)]
    refused.append(asker.decisions["later"].error)
    assert {type(error) for error in refused} == {QuotaExceeded}
    retry_ms = [error.retry_after_ms for error in refused]
    # Each is told the time of a token of its own: one in 100 ms, a jitter of 20 %.
    assert all(90.0 * (n + 1) <= at <= 125.0 * (n + 3) for n, at in enumerate(retry_ms))


def test_key_that_was_removed_while_a_call_waited_is_rejected(hosts, network):
    _, (asker, _) = hosts
    asker.call("r1")
    network.deliver()
    asker.accounts.replace([replace(ACCOUNT, key_digests=frozenset({b"other"}))])
    asker.router.place("r1")
    assert asker.refused_as("r1") is KeyRejected
    assert asker.router.released == [("r1", Result.CANCELLED)]
    asker.call("r2")
    assert asker.refused_as("r2") is KeyRejected


def test_cancelled_calls_return_their_permits(hosts, network):
    _, (asker, _) = hosts
    asking = asker.call("r1")
    asker.gate.cancel(asking)
    queued = asker.call("r2")
    network.deliver()
    asker.gate.cancel(queued)
    assert not asker.router.waiting and not asker.decisions
    assert [type(item) for _, _, item in network.queue] == [QuotaReturn]


def test_new_owner_starts_nearly_empty(hosts):
    owner, _ = hosts
    assert take_all(owner) <= BOUNDS.start(ACCOUNT) < ACCOUNT.burst / 4


def test_owner_has_few_tokens_after_a_pause(hosts, clock):
    owner, _ = hosts
    owner.call("r1")
    wait(clock, [owner], 5_000.0)
    assert owner.permits.broker._fill(ACCOUNT, BOUNDS).tokens > ACCOUNT.burst
    clock.advance(2_000.0)  # another host may have been the owner meanwhile
    assert take_all(owner) <= BOUNDS.start(ACCOUNT)


def test_changed_limits_take_effect_at_the_next_request(hosts, clock):
    owner, _ = hosts
    owner.call("r1")
    wait(clock, [owner], 5_000.0)
    owner.accounts.replace([replace(ACCOUNT, per_s=1.0, burst=1.0)])
    lowered = Account(name="x", key_digests=frozenset(), per_s=1.0, burst=1.0)
    assert take_all(owner) <= BOUNDS.capacity(lowered) + 1.0
    owner.accounts.replace([replace(ACCOUNT, per_s=0.0)])
    assert take_all(owner) == 100


def test_buckets_stay_within_the_bound_with_their_reserve():
    for per_s, burst in ((0.5, 0.0), (4.0, 4.0), (144.0, 144.0), (2_000.0, 1.0)):
        account = replace(ACCOUNT, per_s=per_s, burst=burst)
        used = BOUNDS.capacity(account) + per_s * 5.0 + 4 * BOUNDS.start(account)
        assert used + 0.45 * per_s <= BOUNDS.allowed(account) + 0.01, account


def test_bounds_are_off_without_settings(clock, network):
    host = Host(network=network, clock=clock, name="h0", bounds=None)
    host.call("r1")
    assert "r1" in host.router.waiting and not network.queue


def test_owner_that_has_just_started_refuses_no_call_as_above_the_quota(network, clock):
    made = [Host(network=network, clock=clock, name=f"h{n}") for n in range(3)]
    wait(clock, made, 300.0)
    owner = next(item for item in made if item.permits._members.owns(ACCOUNT.name))
    now_ms = clock.now_ms()
    short = replace(owner.call("model"), request_id="r1", deadline_ms=now_ms + 500.0)
    owner.gate.request(short, lambda item: owner.decisions.__setitem__("r1", item))
    assert owner.refused_as("r1") is QuotaUnanswered
    assert 700.0 <= owner.decisions["r1"].error.retry_after_ms <= 850.0
    # A call that can wait gets its permit as soon as the owner gives them out.
    wait(clock, made, 750.0)
    assert "model" in owner.router.waiting
