"""Tests of the broker of a shard."""

from mangohatch.core.call import Result
from mangohatch.core.health import NoHealth
from mangohatch.core.slots import Broker, SpeedTable
from mangohatch.core.slots.broker import LEASE_MS, SETTLE_MS
from mangohatch.core.tables import UpstreamState
from mangohatch.core.timers import NoTimers
from mangohatch.peer.messages.slots import SlotRequest, SlotReturn, SlotUse
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SHARD = "tablero-misa"


class RecordingHealth(NoHealth):
    def __init__(self):
        self.seen = []
        self.bad = set()

    def observe(self, row, report, holder_id):
        self.seen.append((row.name, str(report.result), holder_id))

    def eligible(self, row, call):
        return row.name not in self.bad


@fixture
def sent():
    return []


@fixture
def health():
    return RecordingHealth()


@fixture
def broker(clock, rng, tables, sent, health):
    made = Broker(
        shard=SHARD,
        host_id="h0",
        clock=clock,
        rng=rng,
        health=health,
        speeds=SpeedTable(clock=clock),
        send=lambda holder, grant: sent.append((holder, grant)),
        zone_of=lambda holder: "puno",
        timers=NoTimers(),
    )
    made.sync(tables.services[SHARD])
    clock.advance(SETTLE_MS)
    return made


def request_slots(broker, holder, count=1, **options):
    message = SlotRequest(shard=SHARD, sequence=7, count=count, wait_ms=15.0, **options)
    broker.handle_request(holder, message)


def return_leases(broker, holder, grant, result="ok", waiting=0):
    uses = [
        SlotUse(upstream=name, token=token, result=result, latency_ms=5.0, freed=True)
        for name, token in zip(grant.upstreams, grant.tokens, strict=True)
    ]
    broker.handle_return(holder, SlotReturn(shard=SHARD, uses=uses, waiting=waiting))


def grants_to(sent, holder):
    return [grant for name, grant in sent if name == holder and grant.tokens]


def test_free_slots_are_granted_at_once(broker, sent):
    request_slots(broker, "h1", count=4)
    ((holder, grant),) = sent
    assert holder == "h1"
    assert (len(grant.tokens), grant.waiting, grant.sequence) == (4, 0, 7)


def test_demand_waits_for_a_return(broker, sent):
    request_slots(broker, "h1", count=6)
    request_slots(broker, "h2")
    assert grants_to(sent, "h2") == []
    return_leases(broker, "h1", sent[0][1])
    assert len(grants_to(sent, "h2")) == 1
    assert len(broker.ledger.leases) == 1


def test_demand_expires(broker, clock, sent):
    request_slots(broker, "h1", count=6)
    request_slots(broker, "h2")
    clock.advance(15.0)
    return_leases(broker, "h1", sent[0][1])
    assert grants_to(sent, "h2") == []


def test_return_without_waiting_calls_ends_the_demand(broker, sent):
    request_slots(broker, "h1", count=5)
    request_slots(broker, "h2", count=3)
    held = grants_to(sent, "h2")[0]
    assert len(held.tokens) == 1
    return_leases(broker, "h2", held, waiting=0)
    return_leases(broker, "h1", sent[0][1])
    assert len(grants_to(sent, "h2")) == 1


def test_new_broker_waits_for_reports_of_holders(clock, rng, tables, sent, health):
    broker = Broker(
        shard=SHARD,
        host_id="h0",
        clock=clock,
        rng=rng,
        health=health,
        speeds=SpeedTable(clock=clock),
        send=lambda holder, grant: sent.append((holder, grant)),
        zone_of=lambda holder: "puno",
        timers=NoTimers(),
    )
    broker.sync(tables.services[SHARD])
    request_slots(broker, "h1")
    held = ["u1", "u1", "u2", "u2", "u3"]
    message = SlotReturn(shard=SHARD, held=held, held_tokens=[1, 2, 3, 4, 5])
    broker.handle_return("h2", message)
    assert grants_to(sent, "h1") == []
    clock.advance(SETTLE_MS)
    broker.tick()
    assert grants_to(sent, "h1")[0].upstreams == ["u3"]
    request_slots(broker, "h3")
    assert grants_to(sent, "h3") == []


def test_lease_of_a_dead_holder_expires(broker, clock, sent):
    request_slots(broker, "h1", count=6)
    clock.advance(LEASE_MS)
    broker.tick()
    assert broker.ledger.leases == {}


def test_renewed_lease_lasts(broker, clock, sent):
    request_slots(broker, "h1", count=2)
    grant = sent[0][1]
    clock.advance(LEASE_MS - 1)
    renewal = SlotReturn(
        shard=SHARD, held=grant.upstreams, held_tokens=grant.tokens, waiting=0
    )
    broker.handle_return("h1", renewal)
    clock.advance(LEASE_MS - 1)
    broker.tick()
    assert len(broker.ledger.leases) == 2


def test_health_observes_reports_of_all_holders(broker, sent, health):
    request_slots(broker, "h1")
    grant = sent[0][1]
    return_leases(broker, "h1", grant, result=str(Result.ABORTED))
    assert health.seen == [(grant.upstreams[0], "aborted", "h1")]


def test_ineligible_upstream_is_not_granted(broker, sent, health):
    health.bad = {"u1", "u2"}
    request_slots(broker, "h1", count=6)
    assert sent[0][1].upstreams == ["u3", "u3"]


def test_draining_upstream_is_not_granted_again(broker, sent, tables):
    request_slots(broker, "h1")
    grant = sent[0][1]
    use = SlotUse(
        upstream=grant.upstreams[0],
        token=grant.tokens[0],
        result="refused",
        freed=True,
        draining=True,
    )
    broker.handle_return("h1", SlotReturn(shard=SHARD, uses=[use]))
    row = tables.services[SHARD].upstreams[grant.upstreams[0]]
    assert row.state is UpstreamState.DRAINING
    request_slots(broker, "h1", count=6)
    assert row.name not in sent[-1][1].upstreams


def test_isolated_call_gets_an_upstream_alone(broker, sent):
    request_slots(broker, "h1", isolated=True)
    grant = sent[0][1]
    assert grant.isolated
    request_slots(broker, "h2", count=6)
    assert grant.upstreams[0] not in grants_to(sent, "h2")[0].upstreams
    assert len(grants_to(sent, "h2")[0].tokens) == 4


def test_isolated_call_waits_until_its_upstream_is_empty(broker, sent):
    request_slots(broker, "h1", count=6)
    request_slots(broker, "h2", isolated=True)
    recalled = [grant.recalled for _, grant in sent if grant.recalled]
    assert len(recalled) == 2
    first = sent[0][1]
    held = dict(zip(first.tokens, first.upstreams, strict=True))
    names = {held[token] for (token,) in recalled}
    assert len(names) == 1
    for (token,) in recalled:
        use = SlotUse(upstream=held[token], token=token, freed=True)
        broker.handle_return("h1", SlotReturn(shard=SHARD, uses=[use], waiting=1))
    assert grants_to(sent, "h2")[0].upstreams == list(names)


def test_reservation_of_an_expired_demand_ends(broker, sent, clock):
    request_slots(broker, "h1", count=6)
    request_slots(broker, "h2", isolated=True)
    clock.advance(16.0)
    broker.tick()
    assert not any(slot.reserved for slot in broker.ledger.slots.values())


def test_unmet_demand_shortens_the_linger_time(broker, sent):
    request_slots(broker, "h1", count=6)
    before_ms = broker.linger_ms
    request_slots(broker, "h2")
    assert broker.linger_ms < before_ms
    assert [name for name, grant in sent if grant.recall] == ["h1"]


def test_free_slot_goes_first_to_its_zone_and_to_holders_of_few_leases(
    clock, rng, tables, sent, health
):
    zones = {"near": "puno", "far": "cusco", "poor": "cusco"}
    broker = Broker(
        shard=SHARD,
        host_id="h0",
        clock=clock,
        rng=rng,
        health=health,
        speeds=SpeedTable(clock=clock),
        send=lambda holder, grant: sent.append((holder, grant)),
        zone_of=lambda holder: zones[holder],
        timers=NoTimers(),
    )
    broker.sync(tables.services[SHARD])
    clock.advance(SETTLE_MS)
    request_slots(broker, "near", count=3)
    request_slots(broker, "far", count=3)
    first = sent[0][1]
    for holder in ("far", "near", "poor"):
        request_slots(broker, holder)
    served = []
    for token, upstream in zip(first.tokens, first.upstreams, strict=True):
        del sent[:]
        use = SlotUse(upstream=upstream, token=token, freed=True)
        broker.handle_return("near", SlotReturn(shard=SHARD, uses=[use], waiting=1))
        served += [holder for holder, grant in sent if grant.tokens]
    assert served == ["near", "poor", "far"]


def test_lease_is_not_recalled_from_a_holder_of_fewer_leases(broker, sent):
    broker._zone_of = lambda holder: "cusco" if holder == "far" else "puno"
    request_slots(broker, "far", count=1)
    request_slots(broker, "near", count=5)
    del sent[:]
    broker.linger_ms = 0.25
    for holder in ("other", "third", "near"):
        request_slots(broker, holder)
    assert not [1 for holder, grant in sent if holder == "far" and grant.recalled]
