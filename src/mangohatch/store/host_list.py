"""Client of the platform's list of live and leaving hosts."""

from abc import ABC, abstractmethod
from enum import StrEnum

from pydantic import BaseModel, ConfigDict, ValidationError

from mangohatch.store.http_call import CallUnanswered, HttpCaller

__all__ = ["HostList", "HostListing", "HttpHostList", "ListedHost", "ListedState"]


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
    """The whole list; ``version`` increases with each change."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int
    hosts: tuple[ListedHost, ...]


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

    async def read(self) -> HostListing:
        reply = await self._caller.call("GET", "/hosts")
        try:
            return HostListing.model_validate_json(reply.body)
        except ValidationError as exc:
            raise CallUnanswered("the host list is malformed") from exc

    def close(self) -> None:
        """Close the HTTP client."""
        self._caller.close()
