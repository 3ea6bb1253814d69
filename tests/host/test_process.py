"""Tests of the operating-system resources and signals of an entry host process."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from mangohatch.config import HostSettings, Listener
from standins.processes import free_port
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

START_TIMEOUT_S = 20.0
LOOPBACK = "127.0.0.1"


def wait_for_port(port: int, process: subprocess.Popen) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        assert process.poll() is None, "the host process exited during start-up"
        try:
            socket.create_connection((LOOPBACK, port), timeout=1).close()
            return
        except ConnectionRefusedError:
            time.sleep(0.02)
    raise AssertionError("the host did not listen before the start time-out")


@fixture
def host_settings():
    port = free_port()
    cfg = HostSettings(
        host_id="h1",
        zone="puno",
        region="sur-andino",
        entry=Listener(port=port),
        balancer_delay_ms=0,
    )
    path = Path(f"/tmp/mangohatch-test-{os.getpid()}.json")
    path.write_text(cfg.model_dump_json(), encoding="utf-8")
    yield path, port
    path.unlink()


@fixture
def host_process(host_settings):
    path, port = host_settings
    process = subprocess.Popen(
        [sys.executable, "-m", "mangohatch", "run", str(path)],
        stderr=subprocess.DEVNULL,
    )
    try:
        wait_for_port(port, process)
        yield process
    finally:
        process.kill()
        process.wait()


def open_files(pid: int) -> list[str]:
    folder = Path(f"/proc/{pid}/fd")
    return [os.readlink(entry) for entry in folder.iterdir()]


def test_host_uses_no_io_uring_shared_memory_or_child(host_process):
    pid = host_process.pid
    assert not [name for name in open_files(pid) if "io_uring" in name]
    maps = Path(f"/proc/{pid}/maps").read_text()
    assert "io_uring" not in maps
    assert "/dev/shm" not in maps and "/memfd:" not in maps
    assert Path(f"/proc/{pid}/task/{pid}/children").read_text() == ""


def test_host_exits_after_sigterm(host_process):
    host_process.send_signal(signal.SIGTERM)
    assert host_process.wait(START_TIMEOUT_S) == 0
