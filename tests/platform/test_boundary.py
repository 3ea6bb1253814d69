"""Tests that the platform adapter stays separate from the rest of the program."""

import re
import subprocess
import sys
from pathlib import Path

from tests.functions import function_tests

load_tests = function_tests(__name__)

ROOT = Path(__file__).resolve().parents[2]
SOURCE = ROOT / "src" / "mangohatch"
ADAPTER = SOURCE / "platform"
# Names from the platform's headers, store paths, settings and documents.
PLATFORM_NAMES = re.compile(
    r"Upstream-Signature|Expected-Instance|Not-Executed|(?<!X-)Deadline-Ms"
    r"|Upstream-Instance|MANGOHATCH_SETTINGS|cold_remaining|traffic_split"
    r"|Cold-Ms|warmup_per_s|slow_start|cold_over"
    r"|/mangohatch/|health_check_path|node_name|internal_ports"
    r"|api_keys|rate_per_s|\btenants?\b|\bTenant\b|quota_(window|over)\b"
)
# Libraries that only the native interface needs.
NATIVE_LIBS = (
    "pydantic",
    "lark",
    "cyclopts",
    "prometheus_client",
    "matplotlib",
    "hypothesis",
)
# Packages of this program that only the native interface uses.
NATIVE_MODULES = (
    "mangohatch.admin",
    "mangohatch.config",
    "mangohatch.core.choice.tokens",
    "mangohatch.core.measuring",
    "mangohatch.core.slots",
    "mangohatch.host",
    "mangohatch.language",
    "mangohatch.orders",
    "mangohatch.peer.frames",
    "mangohatch.peer.link",
    "mangohatch.peer.listener",
    "mangohatch.peer.tcp",
    "mangohatch.state",
)


def test_platform_names_occur_only_in_the_adapter():
    found = []
    for path in SOURCE.rglob("*.py"):
        if ADAPTER in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert not found, found


def test_adapter_is_not_imported_from_outside():
    found = []
    for path in SOURCE.rglob("*.py"):
        if ADAPTER not in path.parents and "mangohatch.platform" in path.read_text():
            found.append(str(path.relative_to(ROOT)))
    assert not found, found


def test_platform_host_does_not_load_the_native_interface():
    script = (
        "import sys; import mangohatch.platform.run; "
        f"print([name for name in {NATIVE_LIBS + NATIVE_MODULES!r} "
        "if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script],
        env={"PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == "[]", result.stdout
