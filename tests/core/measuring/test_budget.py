"""Tests of the measuring budget."""

from hypothesis import given, settings, strategies as st

from mangohatch.clock import ManualClock
from mangohatch.config import MeasuringBudget
from mangohatch.core.measuring import BudgetGate, MeasuringCounter
from mangohatch.core.measuring.budget import START_CALLS
from tests.functions import function_tests

load_tests = function_tests(__name__)

BUDGET = MeasuringBudget(
    calls_per_second=20.0, bytes_per_second=2000.0, calls_per_request=0.5
)
CALL_BYTES = 80
MS_PER_S = 1000.0


def make_gate(budget=BUDGET):
    clock = ManualClock()
    counter = MeasuringCounter()
    return clock, counter, BudgetGate(clock=clock, budget=budget, counter=counter)


def test_calls_per_request_are_bounded():
    _, counter, gate = make_gate(BUDGET.model_copy(update={"calls_per_second": 1e6}))
    for _ in range(100):
        gate.record_request()
        gate.spend_call(1)
        gate.spend_call(1)
    assert counter.calls <= 100 * 0.5 + START_CALLS
    assert counter.denied == 200 - counter.calls


def test_zero_budget_admits_no_call():
    zero_budget = MeasuringBudget(
        calls_per_second=0.0, bytes_per_second=0.0, calls_per_request=0.0
    )
    clock, counter, gate = make_gate(zero_budget)
    clock.advance(10_000.0)
    gate.record_request()
    assert not gate.spend_call(CALL_BYTES)
    assert counter.calls == 0


def test_messages_reduce_the_budget_of_later_calls():
    clock, counter, gate = make_gate()
    for _ in range(100):
        gate.record_request()
    gate.spend_message(4000)
    clock.advance(500.0)
    assert not gate.spend_call(CALL_BYTES)
    clock.advance(600.0)
    assert gate.spend_call(CALL_BYTES)
    assert counter.message_bytes == 4000


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(st.lists(st.floats(min_value=0.0, max_value=200.0), max_size=200))
def check_rates(gaps):
    clock, counter, gate = make_gate()
    for gap_ms in gaps:
        clock.advance(gap_ms)
        gate.record_request()
        gate.record_request()
        gate.spend_call(CALL_BYTES)
        gate.spend_call(CALL_BYTES)
        seconds = clock.now_ms() / MS_PER_S + 1.0
        assert counter.calls <= BUDGET.calls_per_second * seconds
        assert counter.call_bytes <= BUDGET.bytes_per_second * seconds


def test_rates_hold_for_any_intervals():
    check_rates()
