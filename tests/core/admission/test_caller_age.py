"""Tests of the estimated age of requests."""

from mangohatch.core.admission.caller_age import WINDOW, CallerAgeTable
from tests.functions import function_tests

load_tests = function_tests(__name__)


def test_repeated_request_is_as_old_as_the_time_its_caller_has_used():
    ages = CallerAgeTable()
    assert ages.estimate_ms("views", 3_088.0) == 0.0
    assert ages.estimate_ms("views", 1_088.0) == 2_000.0
    assert ages.estimate_ms("views", 3_088.0) == 0.0


def test_groups_do_not_share_the_time_that_callers_allow():
    ages = CallerAgeTable()
    ages.estimate_ms("views", 3_088.0)
    assert ages.estimate_ms("flags", 1_000.0) == 0.0


def test_ages_follow_callers_that_allow_less_from_now_on():
    ages = CallerAgeTable()
    ages.estimate_ms("views", 9_000.0)
    for _ in range(2 * WINDOW):
        ages.estimate_ms("views", 3_000.0)
    assert ages.estimate_ms("views", 3_000.0) == 0.0
    assert ages.estimate_ms("views", 2_000.0) == 1_000.0


def test_first_attempts_may_differ_in_what_they_allow():
    ages = CallerAgeTable()
    ages.estimate_ms("views", 3_088.0)
    assert ages.estimate_ms("views", 2_600.0) == 0.0
