"""Tests of the build of the single-file executable."""

import tempfile
from importlib.metadata import distribution
from pathlib import Path

from tests.functions import function_tests
from tooling.binary import LOCK_FILE, BuildError, check_version, copy_package, read_lock

load_tests = function_tests(__name__)


def test_run_lock_pins_the_runtime_dependencies():
    pins = read_lock(LOCK_FILE.read_text(encoding="utf-8"))
    assert {"tornado", "uvloop", "thrift", "hdrhistogram", "cyclopts"} <= set(pins)
    assert "shiv" not in pins and "hypothesis" not in pins


def test_build_rejects_a_package_of_another_version():
    installed = distribution("tornado")
    check_version(installed, "tornado", installed.version)
    try:
        check_version(installed, "tornado", "0.0.1")
    except BuildError as exc:
        assert "the lock pins 0.0.1" in str(exc)
    else:
        raise AssertionError("package of another version was accepted")


def test_copy_omits_scripts_and_bytecode():
    with tempfile.TemporaryDirectory() as name:
        copy_package(distribution("cyclopts"), Path(name))
        files = [str(path.relative_to(name)) for path in Path(name).rglob("*")]
    assert "cyclopts/__init__.py" in files
    assert not [file for file in files if file.endswith(".pyc") or "bin/" in file]
