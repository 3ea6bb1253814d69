"""Tests of settings that are environment variables."""

from dataclasses import replace

from mangohatch.errors import SettingsError
from mangohatch.platform.environment import CALLER_AGE_VARIABLE, apply_environment
from tests.functions import function_tests
from tests.platform.test_settings import TEXT, load

load_tests = function_tests(__name__)


def test_hosts_do_not_estimate_ages_unless_told_to():
    cfg = load(TEXT)
    assert apply_environment(cfg, {}) == cfg
    expected = replace(cfg, estimates_caller_age=True)
    assert apply_environment(cfg, {CALLER_AGE_VARIABLE: "true"}) == expected


def test_invalid_switch_is_named_with_its_value():
    try:
        apply_environment(load(TEXT), {CALLER_AGE_VARIABLE: "yes"})
    except SettingsError as exc:
        assert "MANGOHATCH_ESTIMATE_CALLER_AGE is 'yes'" in str(exc)
    else:
        raise AssertionError("the value was accepted")
