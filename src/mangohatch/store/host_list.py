"""Client of the platform's list of live and leaving hosts."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Any

import structlog
from pydantic import BaseModel, ConfigDict, ValidationError

from mangohatch.config.loader import format_validation_error
from mangohatch.store.http_call import CallUnanswered, HttpCaller

__all__ = ["HostList", "HostListing", "HttpHostList", "ListedHost", "ListedState"]

log = structlog.get_logger()


class ListedState(StrEnum):
    """State of a host in the list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(BaseModel):
    """A listed host; without a port the entry covers all processes at the address."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    address: str
    port: int | None = None
    state: ListedState


class HostListing(BaseModel):
    """
    The list; ``version`` increases with each change.

    It is not ``complete`` if it has entries that can't be read.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int
    hosts: tuple[ListedHost, ...]
    complete: bool = True


class ReceivedListing(BaseModel):
    """The list as received; each host is checked by itself."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int
    hosts: tuple[Any, ...]


class HostList(ABC):
    """Read access to the host list."""

    @abstractmethod
    async def read(self) -> HostListing:
        """
        Read the whole list.

        :return: the list, which lags behind the actual states
        :raises StoreError: the call failed
        """


class HttpHostList(HostList):
    """
    Reads the host list over HTTP.

    :param address: IP address of the host list service
    :param port: TCP port of the host list service
    :param timeout_ms: timeout of one read in milliseconds
    """

    def __init__(self, *, address: str, port: int, timeout_ms: float) -> None:
        self._caller = HttpCaller(
            address=address, port=port, role="host_list", timeout_ms=timeout_ms
        )
        # Entries that were logged as unreadable.
        self._logged: set[tuple[int, str]] = set()

    async def read(self) -> HostListing:
        reply = await self._caller.call("GET", "/hosts")
        try:
            received = ReceivedListing.model_validate(json.loads(reply.body))
        except (RecursionError, ValueError, ValidationError) as exc:
            raise CallUnanswered("the host list is malformed") from exc
        hosts = tuple(self._read_entries(received.hosts))
        return HostListing(
            version=received.version,
            hosts=hosts,
            complete=len(hosts) == len(received.hosts),
        )

    def _read_entries(self, entries: Iterable[Any]) -> Iterator[ListedHost]:
        known = self._logged
        self._logged = set()
        for position, entry in enumerate(entries):
            try:
                yield ListedHost.model_validate(entry)
            except ValidationError as exc:
                cause = "; ".join(map(format_validation_error, exc.errors()))
                self._logged.add((position, cause))
                if (position, cause) not in known:
                    log.warning(
                        "listed_host_unreadable", position=position, cause=cause
                    )

    def close(self) -> None:
        """Close the HTTP client."""
        self._caller.close()
