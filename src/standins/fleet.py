"""Upstreams and entry hosts of one site, run as child processes."""

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.caller.connection import Address
from standins.http_json import fetch_json
from standins.platform import Platform
from standins.processes import LOOPBACK, Child, free_ports, wait_for_port
from standins.scrape import Totals, scrape
from standins.sites import ServiceSize, Site
from standins.upstream import Behaviour

__all__ = ["EntryChild", "Fleet", "UpstreamAddress"]

BALANCER_DELAY_MS = 1000.0
SERVING_PATH = "/serving"


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamAddress:
    """Address and zone of a stand-in upstream of a service."""

    service: str
    name: str
    port: int
    zone: str


@dataclass(slots=True, kw_only=True)
class EntryChild:
    """An entry host process and the addresses of its listeners."""

    host_id: str
    child: Child
    entry: Address
    admin: Address
    peer: Address


@dataclass(slots=True, kw_only=True)
class Fleet:
    """
    All processes of one site.

    ``folder`` holds settings files and logs. The seeds of the upstreams are derived
    from ``seed``. ``retired_totals`` sums the metrics of retired entry hosts.
    """

    site: Site
    folder: Path
    seed: int
    platform: Platform
    upstreams: list[UpstreamAddress] = field(default_factory=list)
    entries: list[EntryChild] = field(default_factory=list)
    retired_totals: Totals = field(default_factory=Counter)
    _children: list[Child] = field(default_factory=list)
    _host_numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def start_upstreams(self, behaviour: Behaviour) -> None:
        """
        Start the upstreams, one process for each service.

        :param behaviour: initial behaviour of all upstreams; slots and connection
            limit are taken from the service
        :raises ProcessError: when a process does not become ready
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

    async def declare_services(self) -> None:
        """Write the services to the object API and the upstreams to the host list."""
        for size in self.site.services:
            await self.platform.put_service(self.make_service(size))
        for upstream in self.upstreams:
            await self.platform.put_host(upstream.name, upstream.port, leaving=False)

    async def start_entry(self) -> EntryChild:
        """
        Start an entry host and wait until it serves all services.

        :return: the entry host
        :raises ProcessError: when the host does not become ready
        """
        number = next(self._host_numbers)
        host_id = f"{self.site.name}-e{number}"
        entry, admin, peer = ((LOOPBACK, port) for port in free_ports(3))
        settings = {
            "host_id": host_id,
            "zone": self.site.zones[number % len(self.site.zones)],
            "region": self.site.region,
            "entry": make_listener(entry),
            "admin": make_listener(admin),
            "peer": make_listener(peer),
            "seeds": [make_listener(other.peer) for other in self.entries],
            "object_api": make_listener(self.platform.object_api),
            "host_list": make_listener(self.platform.host_list),
            "balancer_delay_ms": BALANCER_DELAY_MS,
        }
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
        for size in self.site.services:
            await fetch_json(entry[1], f"/{size.name}{SERVING_PATH}", parse=False)
        entry_child = EntryChild(
            host_id=host_id, child=child, entry=entry, admin=admin, peer=peer
        )
        self.entries.append(entry_child)
        return entry_child

    def make_service(self, size: ServiceSize) -> dict[str, Any]:
        """
        Build the specification of a service.

        :param size: name and size of the service
        :return: the specification as a JSON document
        """
        return {
            "name": size.name,
            "path_prefix": f"/{size.name}",
            "max_queue_wait_ms": size.max_queue_wait_ms,
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

    def upstreams_of(self, service: str) -> list[UpstreamAddress]:
        """
        List the upstreams of a service.

        :param service: name of the service
        :return: upstreams in the order of their numbers
        """
        return [item for item in self.upstreams if item.service == service]

    async def control(
        self, upstream: UpstreamAddress, *, action: str = "", **changes: Any
    ) -> None:
        """
        Change the behaviour of an upstream or trigger an action.

        :param upstream: the upstream
        :param action: ``silence`` or ``crash``; empty to change settings
        :param changes: new values by setting of the behaviour
        """
        if action:
            path, method, body = f"/control?action={action}", "POST", ""
        else:
            path, method, body = "/control", "PUT", json.dumps(changes)
        await fetch_json(upstream.port, path, method=method, body=body)

    async def read_ledgers(self) -> list[dict[str, Any]]:
        """
        Read the counts of runs of all upstreams.

        :return: one ledger for each upstream
        """
        reads = (self.read_ledger(upstream) for upstream in self.upstreams)
        return list(await asyncio.gather(*reads))

    async def read_ledger(self, upstream: UpstreamAddress) -> dict[str, Any]:
        """
        Read the counts of runs of an upstream.

        :param upstream: the upstream
        :return: ledger of the upstream
        """
        return await fetch_json(upstream.port, "/runs")

    async def read_metrics(self) -> Totals:
        """
        Read the metrics of the running entry hosts and add those of retired hosts.

        :return: values by sample name, summed over hosts and labels
        """
        reads = (scrape(entry.admin) for entry in self.entries)
        return sum(await asyncio.gather(*reads), self.retired_totals)

    async def retire(self, entry: EntryChild) -> int:
        """
        Stop an entry host by SIGTERM and keep its metrics in the totals.

        :param entry: the entry host
        :return: exit status of the process
        """
        self.retired_totals = self.retired_totals + await scrape(entry.admin)
        self.entries.remove(entry)
        entry.child.terminate()
        return await entry.child.wait()

    async def stop(self) -> None:
        """Kill all processes of the fleet and of its platform."""
        await asyncio.gather(*(child.kill() for child in self._children))
        await self.platform.stop()


def make_listener(address: Address) -> dict[str, Any]:
    """
    Convert an address to the form used in the settings of an entry host.

    :param address: IP address and port
    :return: a JSON document
    """
    return {"address": address[0], "port": address[1]}
