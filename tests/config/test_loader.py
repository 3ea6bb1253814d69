"""Tests of mangohatch.config.loader."""

import json
import tempfile
from pathlib import Path

from mangohatch.config import load_settings
from mangohatch.errors import SettingsError
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SETTINGS = {
    "host_id": "entry-1",
    "zone": "puno",
    "region": "sur-andino",
    "entry": {"port": 8080},
}


@fixture
def settings_file():
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder) / "settings.json"


def test_valid_file_is_loaded(settings_file):
    settings_file.write_text(json.dumps(SETTINGS))
    assert load_settings(settings_file).entry.port == 8080


def test_invalid_value_is_rejected_with_its_path(settings_file):
    settings_file.write_text(json.dumps(SETTINGS | {"entry": {"port": 70000}}))
    try:
        load_settings(settings_file)
    except SettingsError as exc:
        assert exc.problems[0].startswith("entry.port: ")
        assert exc.file == str(settings_file)
    else:
        raise AssertionError("accepted a port of 70000")


def test_unknown_field_is_rejected(settings_file):
    settings_file.write_text(json.dumps(SETTINGS | {"zonne": "puno"}))
    try:
        load_settings(settings_file)
    except SettingsError as exc:
        assert exc.problems[0].startswith("zonne: ")
    else:
        raise AssertionError("accepted an unknown field")
