"""Latency and processor time that an entry host adds to a call."""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

from cyclopts import App

app = App(name="bench.overhead", help="Measure what an entry host adds to a call.")

RESULT = Path(__file__).parent / "results" / "overhead.json"
TARGET_P99_MS = 0.46
LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 15.0
WARM_UP_PAIRS = 500
RESPONSE_BYTES = 200
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True, kw_only=True)
class Overhead:
    """
    Results of one run.

    ``added`` is the difference between equal percentiles of both paths, ``paired`` the
    percentile of the differences between consecutive direct and proxied calls.
    """

    pairs: int
    load_average: float
    direct_p50_ms: float
    direct_p99_ms: float
    proxied_p50_ms: float
    proxied_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    paired_p99_ms: float
    cpu_us_per_request: float
    target_p99_ms: float
    met: bool


class RawCaller:
    """Caller with one persistent connection that blocks until each response."""

    def __init__(self, port: int) -> None:
        self._sock = connect(port)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET /bench/x?size={RESPONSE_BYTES}&work_ms=0 HTTP/1.1\r\n"
            f"Host: {LOOPBACK}:{port}\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"
        ).encode()

    def call_ms(self) -> float:
        """
        Send a request and read its complete response.

        :return: round-trip time in milliseconds
        """
        started_ns = time.perf_counter_ns()
        self._sock.sendall(self._request)
        data = self._sock.recv(65_536)
        while not is_complete(data):
            more = self._sock.recv(65_536)
            assert more, "the connection was closed"
            data += more
        elapsed_ns = time.perf_counter_ns() - started_ns
        assert data.startswith(b"HTTP/1.1 200"), data[:200]
        return elapsed_ns / 1e6


@dataclass(slots=True, kw_only=True)
class Pair:
    """Callers of one upstream, directly and through an entry host."""

    direct: RawCaller
    proxied: RawCaller
    entry_pid: int


def is_complete(data: bytes) -> bool:
    """
    Return whether a response was read completely.

    :param data: bytes read so far
    :return: whether the head and all ``RESPONSE_BYTES`` of the body were read
    """
    head, separator, body = data.partition(b"\r\n\r\n")
    return bool(separator) and len(body) == RESPONSE_BYTES


def connect(port: int) -> socket.socket:
    """
    Connect to a process that may still be starting.

    :param port: TCP port on loopback
    :return: connected socket
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return socket.create_connection((LOOPBACK, port), timeout=5)
        except ConnectionRefusedError:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.05)


def free_ports(count: int) -> list[int]:
    """
    Find free TCP ports on loopback.

    :param count: number of ports
    :return: ports that were free when they were chosen
    """
    socks = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def make_settings(entry_port: int, upstream_port: int) -> str:
    """
    Create the settings of the entry host.

    :param entry_port: port for caller connections
    :param upstream_port: port of the upstream
    :return: settings as JSON
    """
    upstream = {
        "name": "u1",
        "address": LOOPBACK,
        "port": upstream_port,
        "zone": "puno",
    }
    service = {"name": "bench", "path_prefix": "/bench", "upstreams": [upstream]}
    settings = {
        "host_id": "h1",
        "zone": "puno",
        "region": "sur-andino",
        "entry": {"address": LOOPBACK, "port": entry_port},
        "balancer_delay_ms": 0,
        "services": [service],
    }
    return json.dumps(settings)


def cpu_ticks(pid: int) -> int:
    """
    Read the processor time of a process.

    :param pid: id of the process
    :return: clock ticks in user and system mode
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def percentile(samples: list[float], share: float) -> float:
    """
    Compute a percentile.

    :param samples: samples in any order
    :param share: percentile as a share, 0 to 1
    :return: sample at that rank
    """
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def measure(direct: RawCaller, proxied: RawCaller, pid: int, pairs: int) -> Overhead:
    """
    Alternate direct and proxied calls and compare their latencies.

    :param direct: caller of the upstream
    :param proxied: caller of the entry host
    :param pid: process id of the entry host
    :param pairs: number of calls on each path
    :return: results of the run
    """
    for _ in range(WARM_UP_PAIRS):
        direct.call_ms()
        proxied.call_ms()
    load = os.getloadavg()[0]
    ticks = cpu_ticks(pid)
    samples = [(direct.call_ms(), proxied.call_ms()) for _ in range(pairs)]
    cpu_us = (cpu_ticks(pid) - ticks) * 1e6 / TICKS_PER_SECOND / pairs
    direct_ms = [pair[0] for pair in samples]
    proxied_ms = [pair[1] for pair in samples]
    added_p99_ms = percentile(proxied_ms, 0.99) - percentile(direct_ms, 0.99)
    return Overhead(
        pairs=pairs,
        load_average=load,
        direct_p50_ms=statistics.median(direct_ms),
        direct_p99_ms=percentile(direct_ms, 0.99),
        proxied_p50_ms=statistics.median(proxied_ms),
        proxied_p99_ms=percentile(proxied_ms, 0.99),
        added_p50_ms=statistics.median(proxied_ms) - statistics.median(direct_ms),
        added_p99_ms=added_p99_ms,
        paired_p99_ms=percentile([b - a for a, b in samples], 0.99),
        cpu_us_per_request=cpu_us,
        target_p99_ms=TARGET_P99_MS,
        met=added_p99_ms <= TARGET_P99_MS,
    )


def stop(process: subprocess.Popen) -> None:
    """
    Stop a child process, and kill it if it does not end within 5 s.

    :param process: process started by this benchmark
    """
    process.terminate()
    try:
        process.wait(5)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


@contextmanager
def run_pair(profile: Path | None = None) -> Iterator[Pair]:
    """
    Run an upstream and an entry host that forwards to it.

    :param profile: file for a profile of the entry host, None for no profile
    :return: context with callers of both; the processes stop when it exits
    """
    entry_port, upstream_port = free_ports(2)
    python = [sys.executable, "-m"]
    profiler = ["cProfile", "-o", str(profile), "-m"] if profile else []
    with tempfile.NamedTemporaryFile("w", suffix=".json") as settings:
        settings.write(make_settings(entry_port, upstream_port))
        settings.flush()
        upstream = subprocess.Popen(
            python + ["standins.upstream", "--port", str(upstream_port)],
            stdout=subprocess.DEVNULL,
        )
        entry = subprocess.Popen(
            python + profiler + ["mangohatch", "run", settings.name],
            stderr=subprocess.DEVNULL,
        )
        try:
            yield Pair(
                direct=RawCaller(upstream_port),
                proxied=RawCaller(entry_port),
                entry_pid=entry.pid,
            )
        finally:
            stop(entry)
            stop(upstream)


@app.default
def main(*, pairs: int = 10_000, profile: Path | None = None) -> None:
    """
    Run an upstream and an entry host and call them alternately.

    The exit status is 1 if the target is missed.

    :param pairs: number of calls on each path
    :param profile: file for a profile of the entry host
    """
    with run_pair(profile) as pair:
        result = measure(pair.direct, pair.proxied, pair.entry_pid, pairs)
    report(result)
    sys.exit(0 if result.met else 1)


def report(result: Overhead) -> None:
    """
    Print a result and write it to the results folder.

    :param result: results of the run
    """
    values = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in asdict(result).items()
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")
    for name, value in values.items():
        print(f"{name:22} {value}")
    print(json.dumps(values))


if __name__ == "__main__":
    app()
