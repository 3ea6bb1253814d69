"""Tests of settings that are environment variables."""

from dataclasses import replace

from mangohatch.errors import SettingsError
from mangohatch.platform.environment import LATE_REQUESTS_VARIABLE, apply_environment
from tests.functions import function_tests
from tests.platform.test_settings import TEXT, load

load_tests = function_tests(__name__)


def test_hosts_do_not_estimate_ages_unless_told_to():
    cfg = load(TEXT)
    assert apply_environment(cfg, {}) == cfg
    expected = replace(cfg, late_requests_yield=True)
    assert apply_environment(cfg, {LATE_REQUESTS_VARIABLE: "true"}) == expected


def test_invalid_switch_is_named_with_its_value():
    try:
        apply_environment(load(TEXT), {LATE_REQUESTS_VARIABLE: "yes"})
    except SettingsError as exc:
        assert "MANGOHATCH_LATE_REQUESTS_YIELD is 'yes'" in str(exc)
    else:
        raise AssertionError("the value was accepted")
