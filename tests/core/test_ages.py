"""Tests of how old requests are."""

from mangohatch.core.ages import CallerAges
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

FIRST_MS = (1_270.0, 1_500.0)  # patience of first requests


class Callers:
    """A route whose callers have a patience that varies."""

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng
        self.ages = CallerAges()

    def ask(self, patience_ms=None):
        self.clock.advance(20.0)
        if patience_ms is None:
            patience_ms = self.rng.uniform(*FIRST_MS)
        return self.ages.age_ms("desk", patience_ms, self.clock.now_ms())

    def refuse(self):
        self.ages.note_refusal(self.clock.now_ms())


@fixture
def callers(clock, rng):
    return Callers(clock, rng)


def test_first_requests_are_new(callers):
    found = [callers.ask() for _ in range(400)]
    assert sum(age == 0.0 for age in found) > 0.85 * len(found)
    assert max(found) < 50.0


def test_request_that_came_back_is_as_old_as_its_patience_is_short(callers):
    for _ in range(100):
        callers.ask()
    assert 800.0 < callers.ask(450.0) < 900.0


def test_callers_that_come_back_in_a_storm_teach_nothing(callers):
    for _ in range(100):
        callers.ask()
    for _ in range(500):
        callers.refuse()
        callers.ask(callers.rng.uniform(300.0, 900.0))
    assert callers.ask(450.0) > 800.0


def test_callers_of_the_least_patience_count_as_new(callers):
    for _ in range(100):
        callers.ask()
        callers.ask(700.0)
    assert callers.ask(700.0) == 0.0
    assert callers.ask(600.0) == 100.0


def test_nothing_is_known_at_first(callers):
    callers.ask()
    assert callers.ask(400.0) == 0.0


def test_other_patience_is_learnt_when_it_is_calm(callers):
    for _ in range(100):
        callers.ask()
    callers.refuse()
    for _ in range(400):
        callers.ask(600.0)
    assert callers.ask(600.0) == 0.0


def test_route_that_is_gone_is_forgotten(callers):
    for _ in range(100):
        callers.ask()
    callers.ages.keep_only(set())
    assert callers.ask(450.0) == 0.0
