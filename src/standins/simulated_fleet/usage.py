"""Counts of datagrams and bytes by message kind."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Usage"]


@dataclass(slots=True, kw_only=True)
class Usage:
    """
    Datagrams by message kind, and their bytes including IP and UDP headers.

    ``sent`` counts what a host hands to its socket, ``received`` what it handles.
    ``dropped`` counts what was lost because a link or a host was too slow.
    """

    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)

    @property
    def datagrams(self) -> int:
        """Number of datagrams sent and received."""
        return self.sent.total() + self.received.total()

    @property
    def bytes(self) -> int:
        """Number of bytes sent and received."""
        return self.sent_bytes.total() + self.received_bytes.total()

    def copy(self) -> "Usage":
        """
        Copy the current counts.

        :return: the copy
        """
        return Usage(
            sent=Counter(self.sent),
            sent_bytes=Counter(self.sent_bytes),
            received=Counter(self.received),
            received_bytes=Counter(self.received_bytes),
            dropped=Counter(self.dropped),
        )

    def since(self, earlier: "Usage") -> "Usage":
        """
        Subtract earlier counts of the same host.

        :param earlier: an earlier copy
        :return: what was counted since then
        """
        return Usage(
            sent=self.sent - earlier.sent,
            sent_bytes=self.sent_bytes - earlier.sent_bytes,
            received=self.received - earlier.received,
            received_bytes=self.received_bytes - earlier.received_bytes,
            dropped=self.dropped - earlier.dropped,
        )

    @classmethod
    def total(cls, usages: Iterable["Usage"]) -> "Usage":
        """
        Add the counts of several hosts.

        :param usages: counts of the hosts
        :return: the sums
        """
        result = cls()
        for usage in usages:
            result.sent.update(usage.sent)
            result.sent_bytes.update(usage.sent_bytes)
            result.received.update(usage.received)
            result.received_bytes.update(usage.received_bytes)
            result.dropped.update(usage.dropped)
        return result
