"""Tests of the outcomes reported to callers of keyed requests."""

from mangohatch.errors import ClaimUnavailable, OutcomeUnknown, RequestInProgress
from tests.functions import function_tests

load_tests = function_tests(__name__)


def test_a_key_whose_first_request_runs_is_never_reported_as_not_run():
    assert RequestInProgress("running").outcome == "unknown"
    assert OutcomeUnknown("lost").outcome == "unknown"


def test_a_key_that_could_not_be_claimed_is_reported_as_not_run():
    assert ClaimUnavailable("no store").outcome == "not_run"
