"""Stand-in for the platform's host list, with delayed updates and outages."""

import argparse
import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tornado.web import Application, RequestHandler

from mangohatch.clock import Clock, SystemClock
from mangohatch.errors import StoreUnavailable
from mangohatch.store.host_list import HostList, HostListing, ListedHost

__all__ = ["HostTable", "MemoryHostList", "make_host_list"]


@dataclass(slots=True, kw_only=True)
class HostTable:
    """Hosts by name; each change becomes visible ``lag_ms`` after it was made."""

    clock: Clock
    lag_ms: float = 0.0
    outage: bool = False
    reads: int = 0
    _changes: list[tuple[float, ListedHost]] = field(default_factory=list)

    def set(self, host: ListedHost) -> None:
        """
        Add or change a host.

        :param host: new entry of the host
        """
        self._changes.append((self.clock.now_ms(), host))

    def view(self) -> HostListing:
        """
        Return the list that is visible now, and count the read.

        :return: the visible hosts
        """
        self.reads += 1
        visible_until_ms = self.clock.now_ms() - self.lag_ms
        visible = [host for at_ms, host in self._changes if at_ms <= visible_until_ms]
        hosts = {host.name: host for host in visible}
        return HostListing(version=len(visible), hosts=tuple(hosts.values()))


class MemoryHostList(HostList):
    """Reads a host table in the same process."""

    def __init__(self, *, host_table: HostTable) -> None:
        self._host_table = host_table

    async def read(self) -> HostListing:
        if self._host_table.outage:
            raise StoreUnavailable("the host list does not answer")
        return self._host_table.view()


class ListHandler(RequestHandler):
    """Serves the list; closes the connection without a response during an outage."""

    def get(self) -> None:
        host_table: HostTable = self.application.settings["host_table"]
        if host_table.outage:
            self.detach().close()
            return
        self.write(host_table.view().model_dump())


class HostHandler(RequestHandler):
    """Writes one entry of the list, for tests and the demo."""

    def put(self, name: str) -> None:
        fields: dict[str, Any] = json.loads(self.request.body)
        host_table: HostTable = self.application.settings["host_table"]
        host_table.set(ListedHost.model_validate(fields | {"name": name}))


class FaultsHandler(RequestHandler):
    """Sets the faults ``lag_ms`` and ``outage``."""

    def put(self) -> None:
        fields = json.loads(self.request.body)
        host_table: HostTable = self.application.settings["host_table"]
        host_table.lag_ms = float(fields.get("lag_ms", host_table.lag_ms))
        host_table.outage = bool(fields.get("outage", host_table.outage))


def make_host_list(host_table: HostTable | None = None) -> Application:
    """
    Build the application of a host list.

    :param host_table: hosts of the list; an empty table without one
    :return: the application
    """
    return Application(
        [
            (r"/hosts", ListHandler),
            (r"/hosts/([^/]+)", HostHandler),
            (r"/faults", FaultsHandler),
        ],
        host_table=host_table or HostTable(clock=SystemClock()),
        log_function=lambda handler: None,
    )


async def serve(port: int) -> None:
    """
    Serve until cancelled.

    :param port: TCP port on loopback
    """
    make_host_list().listen(port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(parser.parse_args().port))
