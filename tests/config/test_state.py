"""Tests of the settings of lasting state."""

from pydantic import ValidationError

from mangohatch.config import StateSettings
from tests.functions import function_tests

load_tests = function_tests(__name__)


def refuses(word, **changes):
    try:
        StateSettings(**changes)
    except ValidationError as exc:
        return word in str(exc)
    return False


def test_times_that_cannot_work_together_are_refused():
    assert refuses("renewal_ms is more than", lease_ms=900.0, renewal_ms=500.0)
    assert refuses("heartbeat_ms is more than", heartbeat_ms=700.0)
    assert StateSettings(lease_ms=1000.0, renewal_ms=500.0)
