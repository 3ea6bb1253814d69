"""Counters of messages between entry hosts, by message kind."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from mangohatch.metrics.sample import Sample, SampleKind

__all__ = ["HEARTBEAT_KIND", "PeerCounters"]

HEARTBEAT_KIND = "heartbeat"


@dataclass(slots=True, kw_only=True)
class PeerCounters:
    """
    Numbers of messages and bytes, by message kind.

    Byte counters hold frame sizes without TCP and IP headers. ``dropped`` is keyed by
    the reason for dropping messages; ``handler_failures`` counts handlers that raised.
    ``unreadable`` counts messages that this version does not understand, or not
    entirely, by cause.
    """

    messages_sent: Counter[str] = field(default_factory=Counter)
    bytes_sent: Counter[str] = field(default_factory=Counter)
    messages_received: Counter[str] = field(default_factory=Counter)
    bytes_received: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)
    unreadable: Counter[str] = field(default_factory=Counter)
    handler_failures: int = 0

    def record_sent(self, kind: str, size: int) -> None:
        """
        Record a sent message.

        :param kind: message kind
        :param size: size of the frame in bytes
        """
        self.messages_sent[kind] += 1
        self.bytes_sent[kind] += size

    def record_received(self, kind: str, size: int) -> None:
        """
        Record a received message.

        :param kind: message kind
        :param size: size of the frame in bytes
        """
        self.messages_received[kind] += 1
        self.bytes_received[kind] += size

    def samples(self) -> Iterable[Sample]:
        """
        Generate the metric samples of all counters.

        :return: one sample for each counter and label value
        """
        families = (
            ("messages_sent", "Messages sent to peers.", self.messages_sent),
            ("bytes_sent", "Bytes of frames sent to peers.", self.bytes_sent),
            ("messages_received", "Messages of peers.", self.messages_received),
            ("bytes_received", "Bytes of frames of peers.", self.bytes_received),
            ("messages_dropped", "Messages dropped, by reason.", self.dropped),
            (
                "messages_unreadable",
                "Messages not understood, or not entirely, by cause.",
                self.unreadable,
            ),
        )
        for name, text, counter in families:
            for kind, value in counter.items():
                yield Sample(
                    name=f"mangohatch_peer_{name}",
                    help=text,
                    kind=SampleKind.COUNTER,
                    value=value,
                    labels=(("kind", kind),),
                )
