"""Runs a host with the command of the deploy file."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from standins.host_processes.http import format_message, read_message
from standins.host_processes.site import make_address, make_settings
from standins.host_processes.store import FleetStore
from standins.processes import LOOPBACK, free_ports, read_memory_bytes

__all__ = ["HostProcess", "start_hosts"]

ROOT = Path(__file__).resolve().parents[3]
COMMAND = (sys.executable, "deploy/host.py")  # as in deploy/system.toml
POLL_S = 1.0
POLL_TIMEOUT_S = 0.9
MISSES_OUT = 2
BYTES_PER_MB = 1_048_576.0


class HostProcess:
    """
    The process of a host, and whether the balancer has it in rotation.

    ``troubles`` holds the begin and end of each disruption in seconds.

    :param name: name of the host
    :param address: IP address on loopback
    :param ports: ports of callers, readiness and peers
    :param settings: content of the settings file
    :param folder: where settings and log are written
    :param root: checkout whose code runs
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        ports: dict[str, int],
        settings: str,
        folder: Path,
        root: Path = ROOT,
    ) -> None:
        self.name = name
        self.address = address
        self.ports = ports
        self.troubles: list[list[float]] = []
        self.ready = False
        self.ended = False
        self._root = root
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(settings, encoding="utf-8")
        self.log_path = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._poll: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process, and ask for its readiness from now on."""
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["MANGOHATCH_SETTINGS"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=self._root,
                env=variables,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )
        if self._poll is None:
            self._poll = asyncio.create_task(self._poll_readiness())

    def begin_trouble(self) -> None:
        """Record that a disruption begins."""
        self.troubles.append([time.monotonic(), float("inf")])

    def end_trouble(self) -> None:
        """Record that the latest disruption ends."""
        self.troubles[-1][1] = time.monotonic()

    def in_touch(self, since_s: float, until_s: float) -> bool:
        """
        Return whether no disruption fell into a time.

        :param since_s: begin of the time in seconds
        :param until_s: end of the time in seconds
        """
        return not any(
            begin <= until_s and end >= since_s for begin, end in self.troubles
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def peak_memory_mb(self) -> float:
        """
        Read how much memory the process has used at most.

        :return: peak of the resident memory in megabytes
        """
        assert self._process is not None
        return read_memory_bytes(self._process.pid, peak=True) / BYTES_PER_MB

    async def wait(self) -> None:
        """Wait for the end of the process."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """Kill the process and forget it."""
        self.ended = True
        if self._poll is not None:
            self._poll.cancel()
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def _poll_readiness(self) -> None:
        misses = 0
        while True:
            good = await self._ask()
            misses = 0 if good else misses + 1
            if good or misses >= MISSES_OUT:
                self.ready = good
            await asyncio.sleep(POLL_S)

    async def _ask(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports["ready"]
                )
                fields = {"Host": LOOPBACK, "Connection": "close"}
                line = "GET /mangohatch/readyz HTTP/1.1"
                writer.write(format_message(line, fields))
                return (await read_message(reader)).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()


async def start_hosts(
    *, count: int, store: FleetStore, folder: Path
) -> list[HostProcess]:
    """
    Start the hosts of a deployment.

    :param count: number of hosts
    :param store: store of the deployment, with an address for each host
    :param folder: where settings and logs are written
    :return: the hosts, which may not be ready yet; if one can't be started, none runs
    """
    numbers = free_ports(3, address=make_address(0))
    ports = dict(zip(("front", "ready", "peers"), numbers, strict=True))
    hosts = []
    try:
        for number in range(count):
            name = f"h{number}"
            door = await store.open_door(name)
            settings = make_settings(
                name=name,
                number=number,
                count=count,
                ports=ports,
                store_port=door.port,
            )
            host = HostProcess(
                name=name,
                address=make_address(number),
                ports=ports,
                settings=settings,
                folder=folder,
            )
            hosts.append(host)
            await host.start()
    except BaseException:
        for host in hosts:
            await host.kill()
        raise
    return hosts
