"""The platform's list of live and leaving hosts."""

from abc import ABC, abstractmethod
from enum import StrEnum

from pydantic import BaseModel, ConfigDict, ValidationError

from mangohatch.store.http_call import CallUnanswered, HttpCaller

__all__ = ["HostList", "HostListing", "HttpHostList", "ListedHost", "ListedState"]


class ListedState(StrEnum):
    """State of a host as the list gives it, later than it is."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(BaseModel):
    """A host; without a port the entry means all processes at the address."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    address: str
    port: int | None = None
    state: ListedState


class HostListing(BaseModel):
    """The whole list; ``version`` grows with each change."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int
    hosts: tuple[ListedHost, ...]


class HostList(ABC):
    """Reads the list."""

    @abstractmethod
    async def read(self) -> HostListing:
        """
        Read the whole list.

        :return: the list, which lags behind reality
        :raises StoreError: when the platform gives no answer
        """


class HttpHostList(HostList):
    """
    The list over HTTP.

    :param address: IP address of the list
    :param port: its TCP port
    :param timeout_ms: time for one read
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
        """Close the client."""
        self._caller.close()
