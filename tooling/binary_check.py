"""Runs the single-file executable as an entry host and measures its footprint."""

import asyncio
import json
import os
import sys
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path

from standins.processes import (
    LOOPBACK,
    STOP_TIMEOUT_MS,
    ProcessError,
    free_port,
    read_memory_bytes,
    wait_for_port,
)
from standins.scrape import is_ready
from tooling.binary import OUTPUT

__all__ = ["BinaryReport", "check_binary"]


@dataclass(slots=True, kw_only=True, frozen=True)
class BinaryReport:
    """Disk, memory, processes and start times of the executable on a host."""

    file_bytes: int
    unpacked_bytes: int
    unpacked_files: int
    child_processes: int
    resident_bytes: int
    first_start_ms: float
    next_start_ms: float
    exit_status: int


def make_settings(port: int, admin_port: int) -> str:
    """
    Make the settings of an entry host without peers.

    :param port: port for callers
    :param admin_port: port of the operator API
    :return: a JSON document
    """
    settings = {
        "host_id": "binary-check",
        "zone": "puno",
        "region": "sur-andino",
        "entry": {"port": port},
        "admin": {"port": admin_port},
        "balancer_delay_ms": 0,
    }
    return json.dumps(settings)


def count_children(pid: int) -> int:
    """
    Count the child processes of a process.

    :param pid: process id
    :return: number of children of all its threads
    """
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    return sum(len(task.read_text(encoding="ascii").split()) for task in tasks)


async def start(settings: Path, env: dict[str, str], port: int):
    """
    Start the executable and wait until it accepts connections from callers.

    :param settings: path of the settings file
    :param env: environment variables of the process
    :param port: port for callers
    :return: the process and the duration of the start in milliseconds
    """
    loop = asyncio.get_running_loop()
    start_time = loop.time()
    process = await asyncio.create_subprocess_exec(
        str(OUTPUT), "run", str(settings), env=env, stderr=asyncio.subprocess.DEVNULL
    )
    await wait_for_port((LOOPBACK, port))
    return process, (loop.time() - start_time) * 1000


async def stop(process: asyncio.subprocess.Process) -> int:
    """
    Stop the process with SIGTERM.

    :param process: the process to stop
    :return: its exit status
    """
    process.terminate()
    async with asyncio.timeout(STOP_TIMEOUT_MS / 1000):
        return await process.wait()


async def check_binary(folder: Path) -> BinaryReport:
    """
    Run the executable twice; the first start unpacks it, the second reuses the files.

    :param folder: an empty folder for settings and unpacked files, in place of the
        memory-backed folder of a host
    :return: footprint and exit status of the second run, and both start times
    :raises ProcessError: if the second run is not ready
    """
    port, admin_port = free_port(), free_port()
    settings = folder / "host.json"
    settings.write_text(make_settings(port, admin_port), encoding="utf-8")
    unpacked = folder / "unpacked"
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    env = {"SHIV_ROOT": str(unpacked), "PATH": path}
    process, first_start_ms = await start(settings, env, port)
    await stop(process)
    process, next_start_ms = await start(settings, env, port)
    if not await is_ready((LOOPBACK, admin_port)):
        raise ProcessError("the executable accepts connections but is not ready")
    children = count_children(process.pid)
    resident = read_memory_bytes(process.pid)
    status = await stop(process)
    sizes = [item.stat().st_size for item in unpacked.rglob("*") if item.is_file()]
    return BinaryReport(
        file_bytes=OUTPUT.stat().st_size,
        unpacked_bytes=sum(sizes),
        unpacked_files=len(sizes),
        child_processes=children,
        resident_bytes=resident,
        first_start_ms=round(first_start_ms),
        next_start_ms=round(next_start_ms),
        exit_status=status,
    )


def main() -> int:
    """
    Check the executable and print the report as JSON.

    :return: exit status, 1 if the executable started child processes or exited with
        a status other than 0
    """
    with tempfile.TemporaryDirectory(prefix="mangohatch-binary-") as name:
        report = asyncio.run(check_binary(Path(name)))
    print(json.dumps(asdict(report)))
    return 1 if report.child_processes or report.exit_status else 0


if __name__ == "__main__":
    sys.exit(main())
