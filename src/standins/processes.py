"""Child processes of the demo and the live bench."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from pathlib import Path

from standins.caller.connection import Address

__all__ = [
    "Child",
    "ProcessError",
    "free_port",
    "free_ports",
    "read_memory_bytes",
    "wait_for_port",
]

LOOPBACK = "127.0.0.1"
CONNECT_RETRY_MS = 20.0
READY_TIMEOUT_MS = 20_000.0
STOP_TIMEOUT_MS = 30_000.0
KIB = 1024


class ProcessError(Exception):
    """A child process did not become ready or did not answer."""


def free_port() -> int:
    """
    Find a free TCP port on loopback.

    :return: the port
    """
    return free_ports(1)[0]


def free_ports(count: int, *, address: str = LOOPBACK) -> list[int]:
    """
    Find different free TCP ports on loopback.

    A port may be free on one address and in use on another, for example by a closed
    connection in the TIME_WAIT state.

    :param count: number of ports
    :param address: IP address on which the ports are free
    :return: the ports
    """
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((address, 0))
        return [sock.getsockname()[1] for sock in socks]


def read_memory_bytes(pid: int, *, peak: bool = False) -> int:
    """
    Read the resident memory of a process.

    :param pid: process id
    :param peak: whether to read the largest that it has been
    :return: resident memory in bytes
    """
    key = "VmHWM:" if peak else "VmRSS:"
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith(key))
    return int(line.split()[1]) * KIB


async def wait_for_port(address: Address) -> None:
    """
    Wait until a port accepts connections.

    :param address: IP address and port
    :raises ProcessError: when the port accepts none within ``READY_TIMEOUT_MS``
    """
    try:
        async with asyncio.timeout(READY_TIMEOUT_MS / 1000):
            while True:
                try:
                    _, writer = await asyncio.open_connection(*address)
                except OSError:
                    await asyncio.sleep(CONNECT_RETRY_MS / 1000)
                    continue
                writer.close()
                return
    except TimeoutError:
        raise ProcessError(f"port {address[1]} did not accept connections") from None


class Child:
    """A Python module that runs as a child process."""

    def __init__(self, *, process: Process, name: str) -> None:
        self.name = name
        self._process = process

    @classmethod
    async def start(
        cls, *args: str, name: str, log: Path | None = None, piped: bool = False
    ) -> "Child":
        """
        Start ``python -m ARGS``.

        :param args: module and its arguments
        :param name: name of the child in error messages
        :param log: file for standard error, which is discarded without one
        :param piped: whether standard output is read with :meth:`read_line`
        :return: the running child
        """
        stderr = open(log, "ab") if log is not None else None
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdout=PIPE if piped else DEVNULL,
                stderr=stderr if stderr is not None else DEVNULL,
                env=dict(os.environ),
            )
        finally:
            if stderr is not None:
                stderr.close()
        return cls(process=process, name=name)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    async def read_line(self) -> str:
        """
        Read a line of the child's standard output.

        :return: the line
        :raises ProcessError: when there is no line within ``READY_TIMEOUT_MS``
        """
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(READY_TIMEOUT_MS / 1000):
                line = await self._process.stdout.readline()
        except TimeoutError:
            raise ProcessError(f"{self.name} wrote no output in time") from None
        if not line:
            raise ProcessError(f"{self.name} ended before it wrote a line")
        return line.decode().strip()

    def terminate(self) -> None:
        """Send SIGTERM for a graceful shutdown."""
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGTERM)

    async def wait(self) -> int:
        """
        Wait for the child to exit; kill it after ``STOP_TIMEOUT_MS``.

        :return: the exit status, negative for a signal
        """
        try:
            async with asyncio.timeout(STOP_TIMEOUT_MS / 1000):
                return await self._process.wait()
        except TimeoutError:
            self._process.kill()
            return await self._process.wait()

    async def kill(self) -> None:
        """Kill the child and wait for it to exit."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
