"""Fleet hosts in one process, on sockets that can be cut off from the upstreams."""

import asyncio
import contextlib
import errno
import os
from collections.abc import AsyncIterator
from contextvars import ContextVar, copy_context
from enum import StrEnum
from pathlib import Path
from unittest import mock

from tornado.iostream import IOStream, StreamClosedError

from mangohatch.fleet.placement import Placement
from mangohatch.fleet.settings import FleetBounds, FleetSettings
from mangohatch.fleet.settings_file import SettingsFile
from mangohatch.platform.host import make_host
from standins.platform_site import PlatformSite, SiteUpstream
from standins.processes import free_ports
from tests.entry.harness import LOOPBACK, Message, read_message
from tests.platform.site import HOST_NAME, configuration, route

__all__ = ["Cut", "CutSite", "open_cut_site"]

WAIT_S = 15.0
POLL_S = 0.02
DEADLINE_MS = 2_000
ZONE = "z"
CURRENT_HOST: ContextVar[str] = ContextVar("cut_host", default="")


class Cut(StrEnum):
    """What happens to the connections between a cut host and the upstreams."""

    HANG = "hang"
    RESET = "reset"
    NEW_ONLY = "new_only"


class Firewall:
    """Interferes with the streams of cut hosts towards the upstreams."""

    def __init__(self):
        self.cuts = {}
        self.ports = set()
        self._streams = []

    def cut(self, host_id, how):
        self.cuts[host_id] = how
        if how is Cut.RESET:
            for stream in self._streams:
                if stream.cut_host == host_id and not stream.closed():
                    stream.close(ConnectionResetError(errno.ECONNRESET, "reset"))

    def heal(self, host_id):
        del self.cuts[host_id]

    def how(self, stream):
        host_id = getattr(stream, "cut_host", "")
        return self.cuts.get(host_id)

    @contextlib.contextmanager
    def installed(self):
        connect, read, write = (
            IOStream.connect,
            IOStream.read_from_fd,
            IOStream.write_to_fd,
        )

        def connect_cut(stream, address, server_hostname=None):
            if address[1] not in self.ports:
                return connect(stream, address, server_hostname)
            stream.cut_host = CURRENT_HOST.get()
            self._streams.append(stream)
            how = self.how(stream)
            if how is None:
                return connect(stream, address, server_hostname)
            future = asyncio.get_running_loop().create_future()
            stream._connecting = True
            stream._connect_future = future
            if how is not Cut.HANG:
                error = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
                stream._connect_future = None
                stream.close(error)
                future.set_exception(StreamClosedError(real_error=error))
            return future

        def read_cut(stream, buf):
            if self.how(stream) is Cut.HANG:
                return None
            return read(stream, buf)

        def write_cut(stream, data):
            if self.how(stream) is Cut.HANG:
                return len(data)
            return write(stream, data)

        with (
            mock.patch.object(IOStream, "connect", connect_cut),
            mock.patch.object(IOStream, "read_from_fd", read_cut),
            mock.patch.object(IOStream, "write_to_fd", write_cut),
        ):
            yield


class FixedSettings(SettingsFile):
    """Settings that do not change; reading them may fail."""

    def __init__(self, *, cfg):
        super().__init__(path=Path("/none"), read=lambda path: cfg)
        self.fail_with = None

    def read_if_changed(self):
        if self.fail_with is not None:
            raise self.fail_with
        return None


class CutSite:
    """The stand-in of a platform with running hosts."""

    def __init__(self, *, site, firewall):
        self.site = site
        self.firewall = firewall
        self.hosts = {}
        self.tasks = {}
        self.settings = {}
        self._leaving = {}

    def start_host(self, number):
        process = os.getpid()
        address = f"127.{2 + number}.{process // 250 % 250}.{1 + process % 250}"
        ports = free_ports(4, address=address)
        cfg = FleetSettings(
            host_id=f"h{number}",
            zone=ZONE,
            entry=(address, ports[0]),
            readiness=(address, ports[1]),
            peers=(address, ports[2]),
            metrics=(address, ports[3]),
            seeds=tuple(host.cfg.peers for host in self.hosts.values())[:2],
            store=(LOOPBACK, self.site.store.port),
            bounds=FleetBounds(
                grace_ms=3_000.0,
                retry_ratio=0.2,
                retry_slack=56.0,
                retry_window_ms=10_000.0,
            ),
        )
        host = make_host(cfg=cfg, placement=Placement.EXPECTED_TIME)
        self.hosts[cfg.host_id] = host
        leaving = self._leaving[cfg.host_id] = asyncio.Event()
        settings = self.settings[cfg.host_id] = FixedSettings(cfg=cfg)
        context = copy_context()
        context.run(CURRENT_HOST.set, cfg.host_id)
        self.tasks[cfg.host_id] = asyncio.get_running_loop().create_task(
            host.run(leaving, settings), context=context
        )

    async def connect_to_relay(self, host_id, *, source=LOOPBACK):
        return await asyncio.open_connection(
            *self.hosts[host_id].cfg.peers, local_addr=(source, 0)
        )

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def wait_until_ready(self):
        await self.wait_until(
            lambda: all(
                not host.not_ready() and len(host.bus.members()) >= len(self.hosts)
                for host in self.hosts.values()
            )
        )

    def leave(self, host_id):
        self._leaving[host_id].set()

    async def send(self, host_id, target, *, method="GET", body=b"") -> Message:
        fields = {
            "Host": HOST_NAME,
            "Request-Id": f"{host_id}-{target.rpartition('/')[2]}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if body:
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        reader, writer = await asyncio.open_connection(*self.hosts[host_id].cfg.entry)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            return await asyncio.wait_for(read_message(reader), WAIT_S)
        finally:
            writer.close()

    async def count_served(self, host_id, count, *, method="GET", prefix="/a/"):
        served = 0
        for number in range(count):
            response = await self.send(host_id, f"{prefix}{number}", method=method)
            served += response.status == 200
        return served


@contextlib.asynccontextmanager
async def open_cut_site(*, hosts=3, upstreams=4, work_s=0.0) -> AsyncIterator[CutSite]:
    """
    Start a stand-in of the platform and several hosts.

    :param hosts: number of hosts, named h0, h1 and so on
    :param upstreams: number of upstreams
    :param work_s: processing time of a request in seconds
    """
    made = [
        SiteUpstream(name=f"i-{number}", service="desk", work_s=work_s)
        for number in range(upstreams)
    ]
    site = PlatformSite(upstreams=made)
    await site.start()
    site.put(
        "config",
        "main",
        configuration(1, route("r1", "/a/"), route("r2", "/b/", kind="unsafe")),
    )
    firewall = Firewall()
    firewall.ports = {upstream.server.port for upstream in made}
    cut_site = CutSite(site=site, firewall=firewall)
    with firewall.installed():
        for number in range(hosts):
            cut_site.start_host(number)
        try:
            await cut_site.wait_until_ready()
            yield cut_site
        finally:
            for host_id, task in cut_site.tasks.items():
                if not task.done():
                    task.cancel()
                    await asyncio.wait([task])
                    await cut_site.hosts[host_id].stop()
            site.stop()
