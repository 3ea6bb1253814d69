"""Tests of reloading a settings file that changes."""

import tempfile
from pathlib import Path

from mangohatch.fleet.settings_file import SettingsFile
from mangohatch.platform.settings import load_fleet_settings
from tests.functions import fixture, function_tests
from tests.platform.test_settings import TEXT

load_tests = function_tests(__name__)


class WatchedFile:
    def __init__(self, folder):
        self.path = Path(folder) / "local.toml"
        self.path.write_text(TEXT)
        self.now_s = 0.0
        self.file = SettingsFile(
            path=self.path, read=load_fleet_settings, now_s=lambda: self.now_s
        )


@fixture
def watched():
    with tempfile.TemporaryDirectory() as folder:
        yield WatchedFile(folder)


def test_unchanged_file_is_not_read_again(watched):
    watched.now_s = 5.0
    assert watched.file.read_if_changed() is None


def test_change_without_a_signal_is_detected(watched):
    watched.path.write_text(TEXT.replace("budget_slack = 56", "budget_slack = 560"))
    assert watched.file.read_if_changed() is None
    watched.now_s = 1.0
    assert watched.file.read_if_changed().bounds.retry_slack == 560
    watched.now_s = 2.0
    assert watched.file.read_if_changed() is None


def test_requested_reload_reads_at_once(watched):
    watched.file.request_reload()
    assert watched.file.read_if_changed() is not None
    assert watched.file.read_if_changed() is None


def test_malformed_change_keeps_the_active_settings(watched):
    watched.path.write_text("zone = ")
    watched.file.request_reload()
    assert watched.file.read_if_changed() is None
