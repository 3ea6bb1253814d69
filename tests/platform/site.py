"""Runs a host as a real process against a stand-in of the platform."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from standins.platform_site import PlatformSite, SiteUpstream
from standins.processes import free_ports
from tests.entry.harness import LOOPBACK, Message, read_message

__all__ = ["HOST_NAME", "PlatformHost", "open_host", "route"]

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "ficu95.example"
WAIT_S = 15.0
COMMAND = (sys.executable, "deploy/host.py")


def route(name, prefix, **fields):
    spec = {
        "host": HOST_NAME,
        "path_prefix": prefix,
        "kind": "safe",
        "timeout": "1000ms",
        "target_latency": "300ms",
        "priority": 2,
        "service": "desk",
        "max_attempts": 2,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec | fields}


def configuration(version, *routes, **options):
    service = {"health_check_path": "/healthz", "max_connections": 220} | options
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    return {
        "version": f"r{version}",
        "resources": [
            *routes,
            {"type": "services", "metadata": {"name": "desk"}, "spec": service},
            {"type": "limits", "metadata": {}, "spec": limits},
        ],
    }


class PlatformHost:
    """
    The process of a host, with requests as callers and the balancer send them.

    :param site: the stand-in of the platform
    :param bounds: further lines of the bounds in its settings
    :param grace: time between SIGTERM and the end of the process
    """

    def __init__(self, site, bounds="", grace="6s"):
        self.site = site
        self.bounds = bounds
        self.grace = grace
        # The port for metrics is fixed, and tests may run in several processes.
        number = os.getpid()
        self.address = f"127.1.{number // 250 % 250}.{1 + number % 250}"
        self.ports = dict(zip(("front", "ready", "peers"), free_ports(3), strict=True))
        self.process = None

    def settings(self):
        return f"""
node_name = "h1"
zone = "z"
ip = "{self.address}"
internal_ports = [{self.ports["peers"]}, {self.ports["peers"]}]
[listen]
front = "{self.address}:{self.ports["front"]}"
ready = "{self.address}:{self.ports["ready"]}"
[bounds]
grace = "{self.grace}"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_slack = 56
{self.bounds}
[platform]
address = "{LOOPBACK}:{self.site.store.port}"
"""

    async def get_metrics(self, port) -> str:
        self.ports["metrics"] = port
        return (await self.get("metrics", "/metrics")).body.decode()

    async def start(
        self,
        path,
        *,
        root=ROOT,
        command=COMMAND,
        stdout=asyncio.subprocess.DEVNULL,
        **env,
    ):
        path.write_text(self.settings())
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=root,
            env={"MANGOHATCH_SETTINGS": str(path)} | env,
            stdout=stdout,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def get(self, port, target, **headers) -> Message:
        fields = {"Host": HOST_NAME, "Request-Id": "abc", "Deadline-Ms": "2000"}
        fields |= {name.replace("_", "-"): text for name, text in headers.items()}
        lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        reader, writer = await asyncio.open_connection(self.address, self.ports[port])
        try:
            writer.write(f"GET {target} HTTP/1.1\r\n{lines}\r\n".encode())
            return await asyncio.wait_for(read_message(reader), WAIT_S)
        finally:
            writer.close()

    async def wait_for_status(self, port, target, status):
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    if (await self.get(port, target)).status == status:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.02)

    async def stop(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), WAIT_S)


@contextlib.asynccontextmanager
async def open_host(
    *, upstreams=2, work_s=0.0, options=None, bounds="", grace="6s", **start
) -> AsyncIterator[PlatformHost]:
    """
    Start a stand-in of the platform and a host in front of it.

    :param upstreams: number of upstreams
    :param work_s: processing time of a request in seconds
    :param options: further fields of the service
    :param bounds: further lines of the bounds in the settings
    :param grace: time between SIGTERM and the end of the process
    :param start: arguments of :meth:`PlatformHost.start`
    """
    made = [
        SiteUpstream(name=f"i-{number}", service="desk", work_s=work_s)
        for number in range(upstreams)
    ]
    site = PlatformSite(upstreams=made)
    await site.start()
    content = configuration(1, route("r1", "/a/"), **(options or {}))
    site.put("config", "main", content)
    host = PlatformHost(site, bounds, grace)
    with tempfile.TemporaryDirectory() as folder:
        await host.start(Path(folder) / "local.toml", **start)
        try:
            await host.wait_for_status("ready", "/mangohatch/readyz", 200)
            yield host
        finally:
            if host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
            site.stop()
