"""Tests of the quarantine of crashing requests over several entry hosts."""

import random
from dataclasses import replace

from mangohatch.clock import ManualClock
from mangohatch.core.call import Call, Grant, Refusal, Report, Result
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.quarantine import (
    CheckResult,
    CrashCheck,
    CrashEvidence,
    QuarantineGate,
    QuarantineNotices,
    QuarantineTable,
)
from mangohatch.core.router import Router
from mangohatch.core.tables import DrainCause, Tables
from mangohatch.core.timers import Timers
from mangohatch.timeline import EventKind, HybridClock, Recorder
from tests.fixtures import make_service
from tests.functions import fixture, function_tests
from tests.network import ManualPeerBus

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
HOSTS = 15
MAX_LOST = 3
POISON = "poison"
OK = Report(result=Result.OK, latency_ms=5.0)
ABORTED = Report(result=Result.ABORTED, latency_ms=5.0)
ERROR = Report(result=Result.ERROR, latency_ms=5.0)


def make_gate(network, clock, name, *, evidence=None):
    tables = Tables()
    tables.apply(make_service(SERVICE, upstreams=30), revision=1)
    rng = random.Random(name)
    table = QuarantineTable(clock=clock)
    bus = ManualPeerBus(network=network, name=name)
    return QuarantineGate(
        clock=clock,
        router=Router(clock=clock, rng=rng, tables=tables),
        table=table,
        notices=QuarantineNotices(clock=clock, rng=rng, bus=bus, table=table),
        recorder=Recorder(host=name, zone="puno", clock=HybridClock(clock=clock)),
        evidence=evidence,
    )


@fixture
def gates(network, clock):
    return [make_gate(network, clock, f"entry-{n}") for n in range(HOSTS)]


def make_call(clock, fingerprint, *, avoid=frozenset()):
    return Call(
        request_id="r",
        service=SERVICE,
        arrived_ms=clock.now_ms(),
        deadline_ms=clock.now_ms() + 1_000.0,
        idempotent=True,
        fingerprint=fingerprint,
        avoid=avoid,
    )


def ask(gate, call):
    decisions = []
    gate.request(call, decisions.append)
    return decisions


def run_once(gate, clock, fingerprint, report):
    decisions = ask(gate, make_call(clock, fingerprint))
    if isinstance(decisions[0], Refusal):
        return decisions[0]
    gate.release(decisions[0], report)
    return decisions[0]


def test_crashing_request_costs_a_bounded_number_of_upstreams(gates, network, clock):
    rng = random.Random(1)
    lost = 0
    for _ in range(600):
        decision = run_once(rng.choice(gates), clock, POISON, ABORTED)
        lost += isinstance(decision, Grant)
        network.deliver()
        clock.advance(100.0)
        for gate in gates:
            gate.tick()
    assert 0 < lost <= MAX_LOST


def test_copies_in_flight_together_cost_one_upstream_each_and_no_more(
    gates, network, clock
):
    first = ask(gates[0], make_call(clock, POISON))[0]
    elsewhere = make_call(clock, POISON, avoid=frozenset({first.upstream.name}))
    second = ask(gates[1], elsewhere)[0]
    gates[0].release(first, ABORTED)
    gates[1].release(second, ABORTED)
    network.deliver()
    assert all(
        isinstance(run_once(gate, clock, POISON, ABORTED), Refusal) for gate in gates
    )


def test_refusal_is_not_run_and_carries_a_retry_time(gates, network, clock):
    run_once(gates[0], clock, POISON, ABORTED)
    run_once(gates[0], clock, POISON, ABORTED)
    refusal = run_once(gates[0], clock, POISON, ABORTED)
    assert refusal.error.code == "request_quarantined"
    assert refusal.error.outcome == "not_run"
    assert refusal.error.retry_after_ms > 0


def test_suspected_or_held_request_gets_no_hedge(gates, network, clock):
    hedge = replace(make_call(clock, POISON), hedge=True)
    assert not gates[1].is_suspected(hedge)
    assert isinstance(ask(gates[1], hedge)[0], Grant)
    run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    assert isinstance(ask(gates[1], hedge)[0], Refusal)
    trial = ask(gates[1], make_call(clock, POISON))[0]
    assert trial.call.isolated
    assert isinstance(ask(gates[1], hedge)[0], Refusal)
    gates[1].release(trial, OK)
    assert isinstance(ask(gates[1], hedge)[0], Grant)


def test_innocent_request_beside_a_crash_is_tried_alone_and_cleared(
    gates, network, clock
):
    run_once(gates[0], clock, "innocent", ABORTED)
    network.deliver()
    grant = ask(gates[1], make_call(clock, "innocent"))[0]
    assert grant.call.isolated
    gates[1].release(grant, OK)
    network.deliver()
    again = ask(gates[2], make_call(clock, "innocent"))[0]
    assert not again.call.isolated


def test_copies_wait_for_the_trial_and_follow_its_result(gates, network, clock):
    for report, expected in ((OK, Grant), (ABORTED, Refusal)):
        gate = gates[0]
        gate.release_request(SERVICE, POISON)
        run_once(gate, clock, POISON, ABORTED)
        trial = ask(gate, make_call(clock, POISON))
        waiting = [ask(gate, make_call(clock, POISON)) for _ in range(3)]
        assert waiting == [[], [], []]
        gate.release(trial[0], report)
        assert [type(decisions[0]) for decisions in waiting] == [expected] * 3


def test_waiting_copy_is_refused_at_its_deadline(gates, clock):
    gate = gates[0]
    run_once(gate, clock, POISON, ABORTED)
    ask(gate, make_call(clock, POISON))
    waiting = ask(gate, make_call(clock, POISON))
    clock.advance(1_001.0)
    gate.tick()
    assert waiting[0].error.outcome == "not_run"


def test_cancelled_trial_hands_over_to_a_waiting_copy(gates, clock):
    gate = gates[0]
    run_once(gate, clock, POISON, ABORTED)
    trial = ask(gate, make_call(clock, POISON))[0]
    waiting = ask(gate, make_call(clock, POISON))
    gate.release(trial, Report(result=Result.CANCELLED, latency_ms=1.0))
    assert isinstance(waiting[0], Grant)


def test_cancelled_waiting_copy_is_never_delivered(gates, clock):
    gate = gates[0]
    run_once(gate, clock, POISON, ABORTED)
    trial = ask(gate, make_call(clock, POISON))[0]
    call = make_call(clock, POISON)
    decisions = ask(gate, call)
    gate.cancel(call)
    gate.release(trial, OK)
    assert decisions == []


def test_host_cut_off_during_the_crashes_is_notified_later(gates, network, clock):
    network.disconnected_hosts.add("entry-14")
    run_once(gates[0], clock, POISON, ABORTED)
    run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    network.disconnected_hosts.clear()
    for _ in range(2):
        clock.advance(1_000.0)
        for gate in gates:
            gate.tick()
        network.deliver()
    # One trial is due by then.
    run_once(gates[14], clock, POISON, ABORTED)
    assert isinstance(run_once(gates[14], clock, POISON, ABORTED), Refusal)


def test_operator_release_reaches_all_hosts(gates, network, clock):
    run_once(gates[0], clock, POISON, ABORTED)
    run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    assert gates[3].release_request(SERVICE, POISON)
    network.deliver()
    assert isinstance(run_once(gates[0], clock, POISON, OK), Grant)


def test_term_ends(gates, clock):
    run_once(gates[0], clock, POISON, ABORTED)
    run_once(gates[0], clock, POISON, ABORTED)
    clock.advance(600_001.0)
    assert isinstance(run_once(gates[0], clock, POISON, OK), Grant)


def test_request_without_fingerprint_is_never_suspected(gates, clock):
    for _ in range(5):
        assert isinstance(run_once(gates[0], clock, "", ABORTED), Grant)


def test_table_is_bounded():
    table = QuarantineTable(clock=ManualClock())
    for number in range(2_000):
        table.record_crash(SERVICE, str(number), "u1")
    assert len(list(table.rows())) == 1_000


def test_end_of_a_drain_is_recorded_once(gates, clock):
    gate = gates[0]
    first, second = (ask(gate, make_call(clock, ""))[0] for _ in range(2))
    for grant in (first, second):
        grant.upstream.start_drain(DrainCause.ORDER)
    gate.release(first, OK)
    kinds = [event.kind for event in gate._recorder.events()]
    assert kinds == [EventKind.UPSTREAM_DRAINED]
    assert gate._recorder.events()[0].upstream == first.upstream.name
    assert second.upstream.in_flight == 1


class ManualCheck(CrashCheck):
    """Keeps questions until the test answers them."""

    def __init__(self):
        self.questions = []

    def send(self, upstream, done):
        self.questions.append(done)

    def retain(self, upstreams):
        return None

    def answer(self, result):
        questions, self.questions = self.questions, []
        for done in questions:
            done(result)


class ManualTimers(Timers):
    """Runs delayed calls when the test says so."""

    def __init__(self):
        self.delayed = []

    def call_later(self, delay_ms, function):
        self.delayed.append(function)

    def run(self):
        delayed, self.delayed = self.delayed, []
        for function in delayed:
            function()


@fixture
def check():
    return ManualCheck()


@fixture
def timers():
    return ManualTimers()


@fixture
def heard():
    """Whether the host hears of upstreams; a list, to be changed by a test."""
    return [True]


@fixture
def careful(network, clock, check, timers, heard):
    """A gate that checks whether upstreams have crashed."""
    evidence = CrashEvidence(
        clock=clock,
        timers=timers,
        check=check,
        hears_upstreams=lambda since_ms: heard[0],
    )
    return make_gate(network, clock, "entry-1", evidence=evidence)


def answer_all(check, timers, clock, result):
    """Answer checks until none is asked or scheduled."""
    while check.questions or timers.delayed:
        clock.advance(5.0)
        check.answer(result)
        timers.run()


def test_request_whose_upstreams_answer_checks_is_never_refused(
    careful, clock, check, timers
):
    for _ in range(5):
        assert isinstance(run_once(careful, clock, POISON, ABORTED), Grant)
        answer_all(check, timers, clock, CheckResult.ANSWERED)
    grant = run_once(careful, clock, POISON, OK)
    assert isinstance(grant, Grant)
    assert not grant.call.isolated


def test_request_whose_upstreams_refuse_connections_is_refused(
    careful, clock, check, timers, heard
):
    heard[0] = False
    for _ in range(2):
        assert isinstance(run_once(careful, clock, POISON, ABORTED), Grant)
        answer_all(check, timers, clock, CheckResult.REFUSED)
    assert isinstance(run_once(careful, clock, POISON, OK), Refusal)


def test_request_whose_upstreams_fall_silent_is_refused(careful, clock, check, timers):
    for _ in range(2):
        assert isinstance(run_once(careful, clock, POISON, ABORTED), Grant)
        answer_all(check, timers, clock, CheckResult.SILENT)
    assert isinstance(run_once(careful, clock, POISON, OK), Refusal)


def test_silence_of_all_upstreams_is_no_crash(careful, clock, check, timers, heard):
    heard[0] = False
    for _ in range(3):
        grant = run_once(careful, clock, POISON, ABORTED)
        assert isinstance(grant, Grant)
        answer_all(check, timers, clock, CheckResult.SILENT)
    assert not run_once(careful, clock, POISON, OK).call.isolated


def test_single_refused_connection_is_no_crash(careful, clock, check, timers):
    for _ in range(3):
        assert isinstance(run_once(careful, clock, POISON, ABORTED), Grant)
        check.answer(CheckResult.REFUSED)
        timers.run()
        answer_all(check, timers, clock, CheckResult.ANSWERED)
    assert not run_once(careful, clock, POISON, OK).call.isolated


def test_answer_to_an_earlier_check_does_not_disprove_a_later_crash(
    careful, clock, check, timers
):
    first, second = (ask(careful, make_call(clock, name))[0] for name in "ab")
    second.upstream = first.upstream
    careful.release(first, ABORTED)
    clock.advance(0.5)
    careful.release(second, ABORTED)
    check.answer(CheckResult.ANSWERED)
    assert not ask(careful, make_call(clock, "a"))[0].call.isolated
    answer_all(check, timers, clock, CheckResult.REFUSED)
    assert ask(careful, make_call(clock, "b"))[0].call.isolated


def test_upstream_that_is_not_assigned_to_this_host_counts_as_well(
    careful, clock, check, timers
):
    for result, isolated in (
        (CheckResult.ANSWERED, False),
        (CheckResult.REFUSED, True),
    ):
        grant = run_once(careful, clock, POISON, ABORTED)
        grant.upstream.reported = False
        answer_all(check, timers, clock, result)
        grant = ask(careful, make_call(clock, POISON))[0]
        assert grant.call.isolated is isolated
        careful.release(grant, Report(result=Result.CANCELLED, latency_ms=1.0))


def test_copies_wait_for_a_check_and_follow_its_result(careful, clock, check, timers):
    for result, isolated in (
        (CheckResult.ANSWERED, False),
        (CheckResult.REFUSED, True),
    ):
        run_once(careful, clock, POISON, ABORTED)
        waiting = [ask(careful, make_call(clock, POISON)) for _ in range(3)]
        assert waiting == [[], [], []]
        answer_all(check, timers, clock, result)
        assert waiting[0][0].call.isolated is isolated
        assert len([item for item in waiting if item]) == (1 if isolated else 3)
        for item in waiting:
            if item and not isolated:
                careful.release(item[0], OK)


def test_copy_that_waits_for_a_check_is_refused_at_its_deadline(careful, clock):
    run_once(careful, clock, POISON, ABORTED)
    waiting = ask(careful, make_call(clock, POISON))
    clock.advance(1_001.0)
    careful.tick()
    assert waiting[0].error.outcome == "not_run"


def test_retry_waits_until_it_is_known_whether_the_upstream_crashed(careful, clock):
    grant = run_once(careful, clock, POISON, ABORTED)
    avoid = frozenset({grant.upstream.name})
    assert ask(careful, make_call(clock, POISON, avoid=avoid)) == []


def test_error_response_does_not_clear_a_suspected_request(gates, network, clock):
    run_once(gates[0], clock, POISON, ABORTED)
    run_once(gates[0], clock, POISON, ERROR)
    network.deliver()
    assert all(ask(gate, make_call(clock, POISON))[0].call.isolated for gate in gates)


def test_late_response_does_not_release_a_quarantined_request(gates, network, clock):
    early = ask(gates[2], make_call(clock, POISON))[0]
    run_once(gates[0], clock, POISON, ABORTED)
    run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    gates[2].release(early, OK)
    network.deliver()
    assert all(isinstance(run_once(gate, clock, POISON, OK), Refusal) for gate in gates)


def test_clear_notice_that_arrives_late_does_not_remove_newer_crashes(
    gates, network, clock
):
    run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    run_once(gates[1], clock, POISON, OK)
    late = [item for item in network.queue if item[1] == "entry-3"]
    network.queue = [item for item in network.queue if item[1] != "entry-3"]
    network.deliver()
    for _ in range(2):
        run_once(gates[2], clock, POISON, ABORTED)
        network.deliver()
    network.queue = late
    network.deliver()
    assert isinstance(run_once(gates[3], clock, POISON, OK), Refusal)


def test_host_that_lost_the_notice_of_a_suspicion_learns_of_it(gates, network, clock):
    network.disconnected_hosts.add("entry-14")
    run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    network.disconnected_hosts.clear()
    for _ in range(2):
        clock.advance(1_000.0)
        for gate in gates:
            gate.tick()
        network.deliver()
    assert ask(gates[14], make_call(clock, POISON))[0].call.isolated


def test_quarantined_request_is_tried_once_on_all_hosts_together(gates, network, clock):
    for _ in range(2):
        run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    run_hosts(gates, network, clock, 1_100.0)
    decisions = []
    for gate in gates:
        decisions += ask(gate, make_call(clock, POISON))
        network.deliver()
    granted = [item for item in decisions if isinstance(item, Grant)]
    assert len(granted) == 1
    assert granted[0].call.isolated
    refused = [item for item in decisions if isinstance(item, Refusal)]
    assert all(item.error.retry_after_ms <= 1_000.0 for item in refused)
    gates[0].release(granted[0], ABORTED)
    network.deliver()
    run_hosts(gates, network, clock, 60_000.0)
    assert all(
        isinstance(ask(gate, make_call(clock, POISON))[0], Refusal) for gate in gates
    )


def test_trial_of_an_innocent_request_ends_its_quarantine(gates, network, clock):
    for _ in range(2):
        run_once(gates[0], clock, "innocent", ABORTED)
    network.deliver()
    run_hosts(gates, network, clock, 1_100.0)
    assert isinstance(run_once(gates[3], clock, "innocent", OK), Grant)
    network.deliver()
    grants = [ask(gate, make_call(clock, "innocent"))[0] for gate in gates]
    assert not any(grant.call.isolated for grant in grants)


def run_hosts(gates, network, clock, span_ms):
    for _ in range(int(span_ms / 20.0)):
        clock.advance(20.0)
        for gate in gates:
            gate.tick()
        network.deliver()


def test_hosts_of_a_large_fleet_that_lost_a_notice_learn_within_two_seconds(
    network, clock
):
    gates = [make_gate(network, clock, f"entry-{n}") for n in range(136)]
    lost = {f"entry-{n}" for n in range(100, 120)}
    network.disconnected_hosts |= lost
    for _ in range(2):
        run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    network.disconnected_hosts.clear()
    run_hosts(gates, network, clock, 2_000.0)
    granted = []
    for gate in gates:
        granted += ask(gate, make_call(clock, POISON))
        network.deliver()
    granted = [item for item in granted if isinstance(item, Grant)]
    # One trial is due by then.
    assert len(granted) <= 1, f"{len(granted)} hosts still send it on"
    assert all(item.call.isolated for item in granted)


def test_repeated_notices_of_a_quarantined_request_become_few(gates, network, clock):
    for _ in range(2):
        run_once(gates[0], clock, POISON, ABORTED)
    network.deliver()
    run_hosts(gates, network, clock, 12_000.0)
    for _ in range(50):
        clock.advance(20.0)
        for gate in gates:
            gate.tick()
    assert len(network.queue) <= 2 * len(gates)


def make_path_call(clock, fingerprint, path):
    call = make_call(clock, fingerprint)
    call.path_fingerprint = path
    return call


def test_copies_of_a_path_are_refused_whatever_their_own_fingerprint(
    gates, network, clock
):
    for number in range(2):
        clock.advance(1_500.0)
        call = make_path_call(clock, f"copy-{number}", "path")
        gates[number].release(ask(gates[number], call)[0], ABORTED)
        network.deliver()
    call = make_path_call(clock, "copy-2", "path")
    assert isinstance(ask(gates[5], call)[0], Refusal)


def test_crashing_query_does_not_stop_other_requests_of_an_answered_path(
    gates, network, clock
):
    gate = gates[0]
    gate.release(ask(gate, make_path_call(clock, "harmless", "path"))[0], OK)
    for _ in range(2):
        call = make_path_call(clock, POISON, "path")
        gate.release(ask(gate, call)[0], ABORTED)
    call = make_path_call(clock, "another", "path")
    assert isinstance(ask(gate, call)[0], Grant)
    assert isinstance(ask(gate, make_path_call(clock, POISON, "path"))[0], Refusal)


def test_request_stays_refused_when_its_route_moves_to_another_service(gates, clock):
    gate = gates[0]
    gate._router._tables.apply(make_service("other"), revision=1)
    for _ in range(2):
        run_once(gate, clock, POISON, ABORTED)
    call = make_call(clock, POISON)
    call.service = "other"
    assert isinstance(ask(gate, call)[0], Refusal)


def break_together(gates, clock, upstream, fingerprints):
    """Break the connections of several requests in flight at one upstream."""
    names = {f"u{number}" for number in range(1, 31)}
    avoid = frozenset(names - {upstream})
    grants = [
        ask(gate, make_call(clock, fingerprint, avoid=avoid))[0]
        for gate, fingerprint in zip(gates, fingerprints, strict=True)
    ]
    for gate, grant in zip(gates, grants, strict=True):
        gate.release(grant, ABORTED)


def test_innocent_request_beside_two_crashes_is_tried_once_their_cause_is_known(
    gates, network, clock
):
    # The host of the third crash has no notices yet.
    network.disconnected_hosts.add("entry-5")
    for upstream in ("u1", "u2"):
        break_together(gates[:2], clock, upstream, (POISON, "innocent"))
        network.deliver()
    break_together(gates[5:6], clock, "u3", (POISON,))
    network.disconnected_hosts.clear()
    for _ in range(3):
        clock.advance(1_000.0)
        for gate in gates:
            gate.tick()
        network.deliver()
    assert isinstance(run_once(gates[0], clock, POISON, OK), Refusal)
    assert isinstance(run_once(gates[0], clock, "innocent", OK), Grant)


def test_copies_that_one_crash_broke_together_count_once(gates, network, clock):
    break_together(gates[:1] * 2, clock, "u1", (POISON, POISON))
    network.deliver()
    assert all(ask(gate, make_call(clock, POISON))[0].call.isolated for gate in gates)


def test_request_is_not_held_while_reports_show_that_its_upstream_lives(
    careful, clock, check, timers
):
    grant = run_once(careful, clock, POISON, ABORTED)
    waiting = ask(careful, make_call(clock, POISON))
    clock.advance(250.0)
    check.answer(CheckResult.SILENT)
    load = UpstreamLoad(running=1, waiting=0, slots=2)
    grant.upstream.load.observe(load, measured_ms=clock.now_ms() - 50.0)
    careful.tick()
    assert waiting
    assert not waiting[0].call.isolated
