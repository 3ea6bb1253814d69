"""Decoding of received messages and their dispatch to handlers."""

from typing import Any

import structlog

from mangohatch.errors import PeerProtocolError, UnknownMessageKind
from mangohatch.peer.bus import Handler
from mangohatch.peer.codec import Envelope, decode_body, decode_envelope
from mangohatch.peer.counters import PeerCounters
from mangohatch.peer.membership import Membership
from mangohatch.peer.unreadable import UnreadableCause, UnreadableMessages
from mangohatch.timeline.recorder import HybridClock

__all__ = ["Inbox"]

US_PER_MS = 1000
KINDS_ACCEPTED_FROM_REPLACED = frozenset({"Ping", "MemberSync"})

log = structlog.get_logger()


class Inbox:
    """
    Decodes received messages and calls the handlers of their types.

    :param membership: provides the newest known incarnation of each sender
    :param clock: hybrid clock that merges the reading in each message
    :param counters: counters of received and dropped messages
    :param unreadable: counts and logs what this version does not understand
    """

    def __init__(
        self,
        *,
        membership: Membership,
        clock: HybridClock,
        counters: PeerCounters,
        unreadable: UnreadableMessages,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._unreadable = unreadable
        self._handlers: dict[type, list[Handler]] = {}

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """
        Register a handler for received messages of one type.

        Handlers of a type are called in the order of their registration.

        :param message_type: a class of :mod:`mangohatch.peer.messages`
        :param handler: called with the sender's host id and the message
        """
        self._handlers.setdefault(message_type, []).append(handler)

    def handle_frame(self, frame: bytes, *, peer: str = "") -> None:
        """
        Decode a message and call its handlers.

        :param frame: the encoded envelope, without the length of the frame
        :param peer: address of the sender, for the log
        """
        try:
            envelope = decode_envelope(frame)
            if self.is_outdated(envelope):
                self._counters.dropped["outdated"] += 1
                return
            message = decode_body(envelope)
        except PeerProtocolError as exc:
            self._drop(exc, peer)
            return
        self._unreadable.search(envelope.kind, envelope.body, peer=peer)
        self._clock.merge(envelope.sent_wall_us / US_PER_MS, envelope.sent_count)
        self._counters.record_received(envelope.kind, len(frame))
        self.dispatch(envelope.sender, message)

    def _drop(self, error: PeerProtocolError, peer: str) -> None:
        known = not isinstance(error, UnknownMessageKind)
        cause = UnreadableCause.MALFORMED if known else UnreadableCause.UNKNOWN_KIND
        self._counters.dropped[cause] += 1
        self._unreadable.record(cause, peer=peer, detail=str(error))

    def is_outdated(self, envelope: Envelope) -> bool:
        """
        Return whether to drop a message because a newer host replaced its sender.

        A message from another process with the id of this host is dropped likewise.

        A newer host with the same id has a higher incarnation. The kinds in
        ``KINDS_ACCEPTED_FROM_REPLACED`` are never outdated: the answers to them notify
        the sender that it was replaced.

        :param envelope: envelope of the message
        :return: whether to drop the message
        """
        if envelope.sender != self._membership.own.host_id:
            row = self._membership.table.rows.get(envelope.sender)
            if row is None or envelope.incarnation >= row.incarnation:
                return False
        return envelope.kind not in KINDS_ACCEPTED_FROM_REPLACED

    def dispatch(self, sender: str, message: Any) -> None:
        """
        Call the handlers of a message, all of them even if some raise an exception.

        :param sender: id of the host that sent the message
        :param message: the decoded message
        """
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                self._counters.handler_failures += 1
                log.exception("peer_handler_failed", kind=type(message).__name__)
