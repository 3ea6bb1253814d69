"""Tests of the settings of replicated configuration."""

from pydantic import ValidationError

from mangohatch.config import StateSettings
from tests.functions import function_tests

load_tests = function_tests(__name__)


def is_rejected_with(message, **changes):
    try:
        StateSettings(**changes)
    except ValidationError as exc:
        return message in str(exc)
    return False


def test_inconsistent_times_are_rejected():
    assert is_rejected_with("renewal_ms is more than", lease_ms=900.0, renewal_ms=500.0)
    assert is_rejected_with("heartbeat_ms is more than", heartbeat_ms=700.0)
    assert StateSettings(lease_ms=1000.0, renewal_ms=500.0)
