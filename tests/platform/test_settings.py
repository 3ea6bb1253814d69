"""Tests of the platform's settings file."""

import tempfile
from pathlib import Path

from mangohatch.errors import SettingsError
from mangohatch.platform.settings import load_fleet_settings
from tests.functions import function_tests

load_tests = function_tests(__name__)

TEXT = """
node_name = "front-z-1"
zone = "z"
ip = "127.0.0.1"
internal_ports = [7720, 7735]
seeds = ["127.0.0.1:8166", "127.0.0.2:8166"]
unknown = 5
[listen]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
[bounds]
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_slack = 56
[platform]
address = "127.0.0.1:8169"
"""


def load(text, **fields):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        path.write_text(text)
        return load_fleet_settings(path, **fields)


def test_settings_are_read_into_types():
    cfg = load(TEXT)
    assert cfg.host_id == "front-z-1"
    assert cfg.entry == ("127.0.0.1", 8161)
    assert cfg.peers == ("127.0.0.1", 7720)
    assert cfg.seeds == (("127.0.0.1", 7720), ("127.0.0.2", 7720))
    assert cfg.bounds.grace_ms == 6_000.0
    assert cfg.bounds.retry_window_ms == 10_000.0


def test_cold_upstreams_are_limited_only_with_their_bound():
    assert load(TEXT).bounds.cold is None
    assert (
        load(TEXT.replace("[platform]", "cold_slack = 8\n[platform]")).bounds.cold
        is None
    )
    lines = "cold_over = 1.5\ncold_slack = 8\n[platform]"
    cold = load(TEXT.replace("[platform]", lines)).bounds.cold
    assert (cold.over, cold.slack) == (1.5, 8.0)
    for line in ("cold_over = -1", 'cold_over = "1.5"', "cold_over = inf"):
        try:
            load(TEXT.replace("[platform]", f"{line}\n[platform]"))
        except SettingsError:
            continue
        raise AssertionError(line)


def test_only_bootstrap_means_the_first_start_of_the_fleet():
    assert not load(TEXT).first_start
    assert load("bootstrap = true" + TEXT).first_start
    assert not load("bootstrap = false" + TEXT).first_start


def test_seeds_may_be_missing():
    assert load(TEXT.replace("seeds =", "no_seeds =")).seeds == ()


def test_invalid_settings_are_rejected_with_the_file_name():
    for line in ("zone = ", "front = ", "grace = ", "address = ", "internal_ports = "):
        text = TEXT.replace(line, f"no_{line}")
        try:
            load(text)
        except SettingsError as exc:
            assert "local.toml" in str(exc)
            continue
        raise AssertionError(line)


def test_longest_pause_may_be_set():
    assert load(TEXT).bounds.max_pause_ms == 120_000.0
    text = TEXT.replace("[platform]", 'max_pause = "30s"\n[platform]')
    assert load(text).bounds.max_pause_ms == 30_000.0


def test_invalid_longest_pause_is_rejected_with_key_and_value():
    for value in ('"0s"', '"-1s"', '"soon"', "30"):
        text = TEXT.replace("[platform]", f"max_pause = {value}\n[platform]")
        try:
            load(text)
        except SettingsError as exc:
            assert "bounds.max_pause" in str(exc)
            assert value.strip('"') in str(exc)
            continue
        raise AssertionError(value)


def test_hedges_are_off_unless_the_file_or_the_environment_permits_them():
    with_ratio = TEXT.replace("[platform]", "hedge_ratio = 0.05\n[platform]")
    assert load(TEXT).bounds.hedge_ratio == 0.0
    assert load(with_ratio).bounds.hedge_ratio == 0.05
    assert load(TEXT, hedge_ratio="0.1").bounds.hedge_ratio == 0.1
    assert load(with_ratio, hedge_ratio="0").bounds.hedge_ratio == 0.0


def test_invalid_hedge_ratio_is_rejected_with_its_source_and_value():
    cases = [(value, "") for value in ("-0.1", "1.5", '"0.05"', "true", "nan")]
    cases += [("0", value) for value in ("-0.1", "1.5", "some", "nan")]
    for in_file, in_environment in cases:
        text = TEXT.replace("[platform]", f"hedge_ratio = {in_file}\n[platform]")
        try:
            load(text, hedge_ratio=in_environment)
        except SettingsError as exc:
            source = "MANGOHATCH_HEDGE_RATIO" if in_environment else "hedge_ratio"
            value = in_environment or in_file.strip('"').capitalize()
            assert source in str(exc)
            assert value.lower() in str(exc).lower()
            assert "from 0 to 1" in str(exc)
            continue
        raise AssertionError((in_file, in_environment))


def test_missing_file_raises_settings_error():
    try:
        load_fleet_settings(Path("/nonexistent/local.toml"))
    except SettingsError:
        return
    raise AssertionError("no error")


def test_bounds_of_quotas_are_read_only_where_all_are_set():
    quota = 'quota_window = "5s"\nquota_over = 0.1\n'
    assert load(TEXT).bounds.quota is None
    assert load(TEXT.replace("[platform]", quota + "[platform]")).bounds.quota is None
    quota += "quota_slack = 20\n"
    bounds = load(TEXT.replace("[platform]", quota + "[platform]")).bounds.quota
    assert (bounds.window_ms, bounds.over, bounds.slack) == (5_000.0, 0.1, 20)
    for good, bad in (('"5s"', '"0s"'), ("0.1", "-0.1"), ("20", '"20"')):
        try:
            load(TEXT.replace("[platform]", quota.replace(good, bad) + "[platform]"))
            raise AssertionError(bad)
        except SettingsError as exc:
            assert "quota_" in str(exc)


def test_number_of_descriptors_is_read():
    assert load(TEXT).max_descriptors is None
    for line, number in (("max_fds = 4100", 4_100), ("", None), ("max_fds = 0", None)):
        cfg = load(TEXT.replace("[platform]", f"[limits]\n{line}\n[platform]"))
        assert cfg.max_descriptors == number
    for line in ('max_fds = "4100"', "max_fds = -1", "max_fds = 1.5"):
        try:
            load(TEXT.replace("[platform]", f"[limits]\n{line}\n[platform]"))
        except SettingsError as exc:
            assert "limits.max_fds" in str(exc)
        else:
            raise AssertionError(line)
