"""Counters of messages between entry hosts by kind."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["PeerCounters"]


@dataclass(slots=True, kw_only=True)
class PeerCounters:
    """Messages and bytes by kind; bytes count frames without headers of TCP and IP."""

    messages_sent: Counter[str] = field(default_factory=Counter)
    bytes_sent: Counter[str] = field(default_factory=Counter)
    messages_received: Counter[str] = field(default_factory=Counter)
    bytes_received: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)

    def sent(self, kind: str, size: int) -> None:
        """
        Count a message sent.

        :param kind: kind of message
        :param size: bytes of its frame
        """
        self.messages_sent[kind] += 1
        self.bytes_sent[kind] += size

    def received(self, kind: str, size: int) -> None:
        """
        Count a message received.

        :param kind: kind of message
        :param size: bytes of its frame
        """
        self.messages_received[kind] += 1
        self.bytes_received[kind] += size
