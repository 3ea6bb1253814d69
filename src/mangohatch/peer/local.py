"""Peer bus of a host without peers."""

import asyncio
from collections.abc import Sequence
from typing import Any

from mangohatch.peer.bus import Handler, MemberView, PeerBus

__all__ = ["LocalPeerBus"]


class LocalPeerBus(PeerBus):
    """Delivers only the messages that this host sends to itself."""

    def __init__(self, *, host_id: str, zone: str) -> None:
        self._host_id = host_id
        self._view = MemberView(host_id=host_id, incarnation=1, zone=zone)
        self._handlers: dict[type, list[Handler]] = {}

    @property
    def host_id(self) -> str:
        return self._host_id

    def members(self) -> Sequence[MemberView]:
        return (self._view,)

    def send(self, host_id: str, message: Any) -> bool:
        if host_id != self._host_id:
            return False
        asyncio.get_running_loop().call_soon(self._dispatch, message)
        return True

    def broadcast(self, message: Any) -> None:
        return None

    def subscribe(self, message_type: type, handler: Handler) -> None:
        self._handlers.setdefault(message_type, []).append(handler)

    def _dispatch(self, message: Any) -> None:
        for handler in self._handlers.get(type(message), ()):
            handler(self._host_id, message)
