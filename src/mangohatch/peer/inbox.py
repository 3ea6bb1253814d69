"""Messages received from peers, on their way to their handlers."""

from typing import Any

import structlog

from mangohatch.errors import PeerProtocolError
from mangohatch.peer.bus import Handler
from mangohatch.peer.codec import Envelope, decode_body, decode_envelope
from mangohatch.peer.counters import PeerCounters
from mangohatch.peer.membership import Membership
from mangohatch.timeline.recorder import HybridClock

__all__ = ["Inbox"]

US_PER_MS = 1000
KINDS_ACCEPTED_FROM_REPLACED = frozenset({"Ping", "MemberSync"})

log = structlog.get_logger()


class Inbox:
    """
    Decodes messages and hands each to the handlers of its type.

    :param membership: knows which senders another host has replaced
    :param clock: takes note of the reading that each message carries
    :param counters: counts messages received and dropped
    """

    def __init__(
        self, *, membership: Membership, clock: HybridClock, counters: PeerCounters
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._handlers: dict[type, list[Handler]] = {}

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """
        Call a handler for each received message of a type, after earlier ones.

        :param message_type: a class of :mod:`mangohatch.peer.messages`
        :param handler: takes the sender's host id and the message
        """
        self._handlers.setdefault(message_type, []).append(handler)

    def handle_frame(self, frame: bytes) -> None:
        """
        Decode a message and hand it to its handlers.

        :param frame: the message without its length
        """
        try:
            envelope = decode_envelope(frame)
            if self.is_outdated(envelope):
                self._counters.dropped["outdated"] += 1
                return
            message = decode_body(envelope)
        except PeerProtocolError as exc:
            self._counters.dropped["malformed"] += 1
            log.warning("peer_message_malformed", cause=str(exc))
            return
        self._clock.merge(envelope.sent_wall_us / US_PER_MS, envelope.sent_count)
        self._counters.record_received(envelope.kind, len(frame))
        self.dispatch(envelope.sender, message)

    def is_outdated(self, envelope: Envelope) -> bool:
        """
        Tell whether a message comes from a host that another one has replaced.

        :param envelope: envelope of the message
        :return: whether to drop it; probes pass so that the sender learns of it
        """
        row = self._membership.table.rows.get(envelope.sender)
        if row is None or envelope.incarnation >= row.incarnation:
            return False
        return envelope.kind not in KINDS_ACCEPTED_FROM_REPLACED

    def dispatch(self, sender: str, message: Any) -> None:
        """
        Call the handlers of a message; a failure of one does not reach the others.

        :param sender: the host that sent it
        :param message: the message
        """
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                log.exception("peer_handler_failed", kind=type(message).__name__)
