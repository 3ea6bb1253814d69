"""Upstreams and entry hosts of one site as child processes."""

import asyncio
import itertools
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.caller.connection import Address
from standins.processes import LOOPBACK, Child, ProcessError, free_port, wait_for_port
from standins.sites import ServiceSize, Site
from standins.upstream import Behaviour

__all__ = ["EntryChild", "Fleet", "UpstreamAddress"]

CONTROL_TRIES = 20
CONTROL_RETRY_MS = 250.0
BALANCER_DELAY_MS = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamAddress:
    """A stand-in upstream of a service."""

    service: str
    name: str
    port: int
    zone: str


@dataclass(slots=True, kw_only=True)
class EntryChild:
    """An entry host process with its addresses."""

    host_id: str
    child: Child
    entry: Address
    admin: Address


@dataclass(slots=True, kw_only=True)
class Fleet:
    """All processes of one site; ``folder`` holds settings and logs."""

    site: Site
    folder: Path
    seed: int
    upstreams: list[UpstreamAddress] = field(default_factory=list)
    entries: list[EntryChild] = field(default_factory=list)
    _children: list[Child] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def start_upstreams(self, behaviour: Behaviour) -> None:
        """
        Start the upstreams, one process for each service.

        :param behaviour: behaviour of all of them at start
        :raises ProcessError: when one does not come up
        """
        for number, size in enumerate(self.site.services):
            limits = {"slots": size.slots, "connection_limit": size.connections}
            settings = behaviour.model_copy(update=limits)
            child = await Child.start(
                "standins.upstream",
                "--port=0",
                f"--count={size.upstreams}",
                f"--seed={self.seed * 1000 + number * 100}",
                f"--behaviour={settings.model_dump_json()}",
                name=size.name,
                log=self.folder / f"{size.name}.log",
                piped=True,
            )
            self._children.append(child)
            ports = (await child.read_line()).split()[1:]
            for index, port in enumerate(ports, 1):
                self.upstreams.append(
                    UpstreamAddress(
                        service=size.name,
                        name=f"{size.name}-{index}",
                        port=int(port),
                        zone=self.site.zones[index % len(self.site.zones)],
                    )
                )

    async def start_entry(self) -> EntryChild:
        """
        Start an entry host and wait until it accepts connections.

        :return: the entry host
        :raises ProcessError: when it does not come up
        """
        number = next(self._numbers)
        host_id = f"{self.site.name}-e{number}"
        entry = (LOOPBACK, free_port())
        admin = (LOOPBACK, free_port())
        settings = self.make_settings(host_id, number, entry, admin)
        path = self.folder / f"{host_id}.json"
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        child = await Child.start(
            "mangohatch",
            "run",
            str(path),
            name=host_id,
            log=self.folder / f"{host_id}.log",
        )
        self._children.append(child)
        await wait_for_port(entry)
        made = EntryChild(host_id=host_id, child=child, entry=entry, admin=admin)
        self.entries.append(made)
        return made

    def make_settings(
        self, host_id: str, number: int, entry: Address, admin: Address
    ) -> dict[str, Any]:
        """
        Make the settings of an entry host.

        :param host_id: its id
        :param number: decides its zone
        :param entry: address for callers
        :param admin: address for operators
        :return: a JSON document
        """
        return {
            "host_id": host_id,
            "zone": self.site.zones[number % len(self.site.zones)],
            "region": self.site.region,
            "entry": {"address": entry[0], "port": entry[1]},
            "admin": {"address": admin[0], "port": admin[1]},
            "balancer_delay_ms": BALANCER_DELAY_MS,
            "services": [self.make_service(size) for size in self.site.services],
        }

    def make_service(self, size: ServiceSize) -> dict[str, Any]:
        """
        Declare a service.

        :param size: the service
        :return: a JSON document
        """
        return {
            "name": size.name,
            "path_prefix": f"/{size.name}",
            "upstreams": [
                {
                    "name": upstream.name,
                    "address": LOOPBACK,
                    "port": upstream.port,
                    "zone": upstream.zone,
                    "slots": size.slots,
                    "connections": size.connections,
                }
                for upstream in self.upstreams
                if upstream.service == size.name
            ],
        }

    def of_service(self, service: str) -> list[UpstreamAddress]:
        """
        List the upstreams of a service.

        :param service: its name
        :return: its upstreams in order
        """
        return [item for item in self.upstreams if item.service == service]

    async def control(
        self, upstream: UpstreamAddress, *, action: str = "", **changes: Any
    ) -> None:
        """
        Switch the behaviour of an upstream, or make it do something once.

        :param upstream: the upstream
        :param action: silence or crash; empty to switch settings
        :param changes: settings to change
        """
        if action:
            path, method, body = f"/control?action={action}", "POST", ""
        else:
            path, method, body = "/control", "PUT", json.dumps(changes)
        await fetch_json(upstream.port, path, method=method, body=body)

    async def read_ledgers(self) -> list[dict[str, Any]]:
        """
        Read the counts of runs of all upstreams.

        :return: one ledger an upstream
        """
        reads = (fetch_json(item.port, "/runs") for item in self.upstreams)
        return list(await asyncio.gather(*reads))

    async def stop(self) -> None:
        """End all processes that this fleet started."""
        for child in self._children:
            await child.kill()


async def fetch_json(port: int, path: str, **options: Any) -> dict[str, Any]:
    """
    Talk to an upstream's control endpoints; a crashed one gets time to return.

    :param port: its port
    :param path: path and query
    :param options: options of the HTTP client
    :return: the JSON answer, empty without one
    :raises ProcessError: when no answer comes
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    url = f"http://{LOOPBACK}:{port}{path}"
    try:
        for _ in range(CONTROL_TRIES):
            try:
                response = await client.fetch(url, **options)
            except (HTTPClientError, OSError):
                await asyncio.sleep(CONTROL_RETRY_MS / 1000)
                continue
            return json.loads(response.body or b"{}")
    finally:
        client.close()
    raise ProcessError(f"no answer from port {port} for {path}")
