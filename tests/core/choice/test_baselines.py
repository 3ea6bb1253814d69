"""Tests of the baseline choosers."""

from mangohatch.core.call import Call, Grant, Report, Result
from mangohatch.core.choice.idle_hints import IdleHintsChooser
from mangohatch.core.choice.least_in_flight import LeastInFlightChooser
from mangohatch.core.choice.partition import PartitionChooser
from mangohatch.core.choice.power_of_two import PowerOfTwoChooser
from mangohatch.core.choice.probing import ProbeReply, ProbeTransport, ProbingChooser
from mangohatch.core.choice.round_robin import RoundRobinChooser
from mangohatch.core.choice.uniform import UniformChooser
from mangohatch.core.health import NoHealth
from mangohatch.core.measuring import MeasuringCounter
from mangohatch.core.router import Router
from mangohatch.core.statement import UpstreamStatement
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


class FakeProbes(ProbeTransport):
    def __init__(self, loads):
        self.loads = loads

    def send(self, row, reply):
        reply(ProbeReply(in_flight=self.loads[row.name], latency_ms=10.0))


@fixture
def parts(clock, rng):
    return dict(clock=clock, rng=rng, health=NoHealth())


def make_call(number=0, avoid=()):
    return Call(
        request_id=f"r{number}",
        service="tablero-misa",
        arrived_ms=0.0,
        deadline_ms=1000.0,
        idempotent=True,
        avoid=frozenset(avoid),
    )


def route(chooser, parts, tables, count, avoid=()):
    router = Router(
        clock=parts["clock"], rng=parts["rng"], tables=tables, chooser=chooser
    )
    decisions = []
    for number in range(count):
        router.request(make_call(number, avoid), decisions.append)
    return router, decisions


def count_names(decisions):
    names = [decision.upstream.name for decision in decisions]
    return [names.count(name) for name in ("u1", "u2", "u3")]


def test_every_immediate_chooser_respects_avoid(parts, tables):
    counter = MeasuringCounter()
    transport = FakeProbes({"u1": 0, "u2": 1, "u3": 2})
    for chooser in (
        UniformChooser(**parts),
        RoundRobinChooser(**parts),
        LeastInFlightChooser(**parts),
        PowerOfTwoChooser(**parts),
        IdleHintsChooser(**parts),
        ProbingChooser(transport=transport, counter=counter, **parts),
    ):
        _, decisions = route(chooser, parts, tables, 12, avoid=("u1",))
        assert count_names(decisions)[0] == 0
        assert sum(count_names(decisions)) == 12


def test_round_robin_chooses_each_upstream_equally_often(parts, tables):
    _, decisions = route(RoundRobinChooser(**parts), parts, tables, 9)
    assert count_names(decisions) == [3, 3, 3]


def test_power_of_two_never_picks_the_worst_of_three(parts, tables):
    tables.services["tablero-misa"].upstreams["u2"].in_flight = 100
    _, decisions = route(PowerOfTwoChooser(**parts), parts, tables, 20)
    assert count_names(decisions)[1] == 0


def test_idle_hint_is_used_once(parts, tables):
    chooser = IdleHintsChooser(**parts)
    router, decisions = route(chooser, parts, tables, 1)
    grant = decisions[0]
    report = Report(
        result=Result.OK, latency_ms=5.0, statement=UpstreamStatement(in_flight=0)
    )
    router.release(grant, report)
    router.request(make_call(1), decisions.append)
    assert decisions[1].upstream is grant.upstream
    assert not chooser._hints["tablero-misa"]


def test_probing_prefers_the_least_loaded_and_counts_its_calls(parts, tables):
    counter = MeasuringCounter()
    transport = FakeProbes({"u1": 5, "u2": 0, "u3": 9})
    chooser = ProbingChooser(transport=transport, counter=counter, **parts)
    _, decisions = route(chooser, parts, tables, 2)
    assert decisions[1].upstream.name == "u2"
    assert counter.calls == 6


def test_partition_uses_only_its_own_slots(parts, tables):
    chooser = PartitionChooser(position=1, hosts=3, **parts)
    router, decisions = route(chooser, parts, tables, 3)
    assert len(decisions) == 2
    assert all(isinstance(decision, Grant) for decision in decisions)
    router.release(decisions[0], Report(result=Result.OK, latency_ms=5.0))
    assert len(decisions) == 3
