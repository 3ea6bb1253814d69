"""Obtains the content of a part from a peer that has announced it."""

from collections.abc import Sequence

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.part import DirectoryPart, PartItem, compute_digest
from mangohatch.directory.payload import Payload
from mangohatch.directory.pieces import PieceAssembler
from mangohatch.errors import PeerProtocolError
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.directory import (
    DirectoryMark,
    DirectoryPiece,
    DirectoryPull,
)

__all__ = ["PartPuller"]

PULL_TIMEOUT_MS = 150.0  # without a piece; then another host is asked
REORDER_MS = 30.0  # after the last piece, for those that it has overtaken
MAX_OFFERS = 8  # hosts remembered for one content

log = structlog.get_logger()


class PartPuller:
    """
    Pulls newer content of one part, from one host at a time.

    After ``PULL_TIMEOUT_MS`` without a piece, or soon after the last one if others are
    missing, it asks the next of the hosts that have announced newer content than this
    host has, for the missing pieces only. A host that has just received a large part
    can serve few others, so they must not all wait for it. Nor must they wait for one
    that announced the newest content and does not answer: those that hold an earlier
    one are asked after it.

    ``requests`` counts the pulls, ``attempts`` those of the latest content.

    :param clock: source of time
    :param bus: sends the pulls
    :param part: this host's copy of the part
    """

    def __init__(self, *, clock: Clock, bus: PeerBus, part: DirectoryPart) -> None:
        self._clock = clock
        self._bus = bus
        self._part = part
        self._assembler = PieceAssembler()
        self._target: DirectoryMark | None = None
        # Revisions that hosts have announced; the host to ask next comes first.
        self._offers: dict[str, int] = {}
        self._payload = 0
        self._full_copy = False
        self._next_request_ms = 0.0
        self._last_requested = 0
        self.requests = 0
        self.attempts = 0

    @property
    def pending(self) -> bool:
        """Whether a peer has announced content that this host has not received."""
        target = self._target
        return target is not None and target.revision > self._part.revision

    def offer(self, sender: str, mark: DirectoryMark) -> None:
        """
        Record that a peer has newer content; request it unless a pull is in progress.

        :param sender: id of the peer
        :param mark: the mark of the peer, newer than this host's copy
        """
        target = self._target
        known = sender in self._offers
        if target is None or mark.revision > target.revision:
            self._target = mark
        if target is None:
            self.attempts = 0
        if target is None or (
            mark.revision > target.revision and mark.digest != target.digest
        ):
            self._payload = 0
            self._full_copy = False
            self._record_offer(sender, mark)
            self._request()
        elif known:
            self._offers[sender] = mark.revision
        else:
            self._record_offer(sender, mark)

    def _record_offer(self, sender: str, mark: DirectoryMark) -> None:
        self._offers.pop(sender, None)
        self._offers = {sender: mark.revision, **self._offers}
        while len(self._offers) > MAX_OFFERS:
            self._offers.popitem()

    def tick(self) -> None:
        """Ask the next host if the pull in progress has received nothing for long."""
        if self._target is None:
            return
        if not self.pending:
            self._end()
        elif self._clock.now_ms() >= self._next_request_ms:
            self._request()

    def add(self, piece: DirectoryPiece) -> tuple[Sequence[PartItem], Payload] | None:
        """
        Add a received piece.

        :param piece: a piece of content newer than this host's copy
        :return: all items of the new content and the payload that they came in, once
            it is complete; otherwise None
        """
        target = self._target
        if target is not None and piece.mark.digest == target.digest:
            self._payload = piece.payload
            last = piece.number == (self._last_requested or piece.count - 1)
            wait_ms = REORDER_MS if last else PULL_TIMEOUT_MS
            self._next_request_ms = self._clock.now_ms() + wait_ms
        payload = self._assembler.add(piece)
        if payload is None:
            return None
        items = self._decode(payload, piece.mark)
        if items is None:
            self._payload = 0
            self._full_copy = True
            self._request()
            return None
        if target is not None and piece.mark.digest == target.digest:
            self._end()
        return items, payload

    def _decode(
        self, payload: Payload, mark: DirectoryMark
    ) -> Sequence[PartItem] | None:
        base = self._part.digest if payload.base else 0
        try:
            delta = payload.decode()
        except PeerProtocolError as exc:
            log.warning("directory_content_unreadable", part=mark.part, cause=str(exc))
            return None
        items = delta.apply(self._part.items if base else {})
        if payload.base != base or compute_digest(items) != mark.digest:
            log.info("directory_digest_mismatch", part=mark.part, full=not base)
            return None
        return items

    def _request(self) -> None:
        self.requests += 1
        self.attempts += 1
        self._next_request_ms = self._clock.now_ms() + PULL_TIMEOUT_MS
        missing = list(self._assembler.list_missing(self._payload))
        self._last_requested = missing[-1] if missing else 0
        pull = DirectoryPull(
            part=self._part.name,
            digest=0 if self._full_copy else self._part.digest,
            payload=self._payload if missing else 0,
            missing=missing,
        )
        for sender, revision in list(self._offers.items()):
            del self._offers[sender]
            if revision > self._part.revision and self._ask(sender, pull):
                self._offers[sender] = revision  # the last one to be asked again
                return

    def _ask(self, sender: str, pull: DirectoryPull) -> bool:
        try:
            return self._bus.send(sender, pull)
        except Exception as exc:
            log.error("directory_pull_not_sent", peer=sender, cause=repr(exc))
            return False

    def _end(self) -> None:
        self._target = None
        self._offers = {}
        self._payload = 0
        self._full_copy = False
