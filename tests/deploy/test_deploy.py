"""Tests of the build command and the entry role without the platform itself."""

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from tests.functions import fixture, function_tests
from tests.platform.site import ROOT, open_host

load_tests = function_tests(__name__)

BUILD_TIMEOUT_S = 300
COPIED_FOLDERS = ("deploy", "requirements", "src")


@fixture
def deployed():
    """Copy of the needed folders, built with the command of ``system.toml``."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name in COPIED_FOLDERS:
            shutil.copytree(
                ROOT / name,
                root / name,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        system = tomllib.loads((root / "deploy" / "system.toml").read_text())
        python = Path(sys._base_executable).resolve()
        (root / "bin").mkdir()
        (root / "bin" / "python3").symlink_to(python)
        env = os.environ | {"PATH": f"{root / 'bin'}:{os.environ['PATH']}"}
        subprocess.run(
            system["build"],
            shell=True,
            cwd=root,
            env=env,
            check=True,
            timeout=BUILD_TIMEOUT_S,
        )
        yield root, system


async def test_built_role_starts_and_serves(deployed):
    root, system = deployed
    role = system["roles"]["entry"]
    command = role["run"].split()
    command[0] = str(root / "bin" / command[0])
    deps = str(root / "target" / "deps")
    async with open_host(root=root, command=command, PYTHONPATH=deps) as host:
        assert (await host.get("front", "/a/x")).status == 200
        port, _, path = role["metrics"].partition("/")
        host.ports["metrics"] = int(port)
        assert (await host.get("metrics", f"/{path}")).status == 200


def test_run_and_host_locks_pin_the_same_versions():
    def versions(name):
        lines = (ROOT / "requirements" / name).read_text().splitlines()
        pins = (line.split(" ")[0].partition("==") for line in lines if "==" in line)
        return {package: version for package, _, version in pins}

    run_pins = versions("run.lock")
    host_pins = versions("host.lock")
    assert {name: run_pins[name] for name in host_pins if name in run_pins} == {
        name: version for name, version in host_pins.items() if name in run_pins
    }
