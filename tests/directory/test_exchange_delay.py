"""Tests of noticing that the messages of this host arrive late."""

from mangohatch.directory.exchange_delay import ExchangeDelay
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

EXCHANGE_MS = 500.0
SPAN_MS = 10_000.0


@fixture
def delay(clock):
    return ExchangeDelay(clock=clock)


def run_exchanges(delay, clock, answer_ms):
    """Begin exchanges with two members in turn; each answer comes after a time."""
    seen = []
    answers = []
    for number in range(int(SPAN_MS / EXCHANGE_MS)):
        while answers and answers[0][0] <= clock.now_ms():
            delay.answered(answers.pop(0)[1])
        receiver = f"h{number % 2}"
        delay.begin(receiver)
        answers.append((clock.now_ms() + answer_ms, receiver))
        clock.advance(EXCHANGE_MS)
        seen.append(delay.late)
    return seen


def test_answers_in_time_show_no_delay(delay, clock):
    assert not any(run_exchanges(delay, clock, 400.0))


def test_late_answer_is_not_taken_for_that_of_a_later_exchange(delay, clock):
    assert all(run_exchanges(delay, clock, 2_300.0)[4:])


def test_answer_in_time_ends_the_delay(delay, clock):
    run_exchanges(delay, clock, 2_300.0)
    assert delay.late
    delay.begin("h9")
    clock.advance(100.0)
    delay.answered("h9")
    assert not delay.late


def test_host_that_begins_no_exchanges_is_not_late(delay, clock):
    run_exchanges(delay, clock, 2_300.0)
    clock.advance(5_000.0)
    assert not delay.late
    delay.begin("h1")
    assert not delay.late
