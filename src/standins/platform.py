"""Stand-ins for the platform's object API and host list, run as child processes."""

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.caller.connection import Address
from standins.http_json import fetch_json
from standins.processes import LOOPBACK, Child, free_port, wait_for_port

__all__ = ["Platform"]


@dataclass(slots=True, kw_only=True)
class Platform:
    """Object API and host list of one site; ``folder`` holds their logs."""

    folder: Path
    object_api: Address = (LOOPBACK, 0)
    host_list: Address = (LOOPBACK, 0)
    _children: list[Child] = field(default_factory=list)

    async def start(self) -> None:
        """
        Start both services.

        :raises ProcessError: when a service does not become ready
        """
        self.object_api = await self._start("standins.object_api")
        self.host_list = await self._start("standins.host_list")

    async def _start(self, module: str) -> Address:
        address = (LOOPBACK, free_port())
        child = await Child.start(
            module,
            f"--port={address[1]}",
            name=module,
            log=self.folder / f"{module}.log",
        )
        self._children.append(child)
        await wait_for_port(address)
        return address

    async def put_service(self, spec: dict[str, Any]) -> None:
        """
        Create the object of a service, which must not exist yet.

        :param spec: specification of the service
        """
        path = f"/objects/service/{spec['name']}"
        port = self.object_api[1]
        await fetch_json(port, path, method="PUT", body=json.dumps(spec))

    async def put_host(self, name: str, port: int, *, leaving: bool) -> None:
        """
        Write an entry of the host list.

        :param name: name of the host
        :param port: TCP port of the host
        :param leaving: whether the host is leaving
        """
        entry = {
            "address": LOOPBACK,
            "port": port,
            "state": "leaving" if leaving else "live",
        }
        body = json.dumps(entry)
        await fetch_json(self.host_list[1], f"/hosts/{name}", method="PUT", body=body)

    async def read_calls(self) -> dict[str, int]:
        """
        Read how often the object API was called.

        :return: number of calls by caller role and kind of call
        """
        return await fetch_json(self.object_api[1], "/calls")

    async def stop(self) -> None:
        """Kill the processes of the object API and of the host list."""
        await asyncio.gather(*(child.kill() for child in self._children))
