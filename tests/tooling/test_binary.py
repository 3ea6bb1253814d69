"""Tests of the build of the one-file program."""

import tempfile
from importlib.metadata import distribution
from pathlib import Path

from tests.functions import function_tests
from tooling.binary import LOCK, BuildError, check_version, copy_package, read_lock

load_tests = function_tests(__name__)


def test_lock_pins_what_the_program_imports():
    pins = read_lock(LOCK.read_text(encoding="utf-8"))
    assert {"tornado", "uvloop", "thrift", "hdrhistogram", "cyclopts"} <= set(pins)
    assert "shiv" not in pins and "hypothesis" not in pins


def test_package_of_another_version_stops_the_build():
    found = distribution("tornado")
    check_version(found, "tornado", found.version)
    try:
        check_version(found, "tornado", "0.0.1")
    except BuildError as exc:
        assert "the lock says 0.0.1" in str(exc)
    else:
        raise AssertionError("no error")


def test_scripts_and_bytecode_stay_behind():
    with tempfile.TemporaryDirectory() as name:
        copy_package(distribution("cyclopts"), Path(name))
        files = [str(path.relative_to(name)) for path in Path(name).rglob("*")]
    assert "cyclopts/__init__.py" in files
    assert not [file for file in files if file.endswith(".pyc") or "bin/" in file]
