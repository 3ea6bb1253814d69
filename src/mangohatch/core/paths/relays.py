"""Choice of the peer through which an upstream is reached."""

import random
from collections import Counter
from collections.abc import Iterator
from enum import StrEnum

from mangohatch.clock import Clock
from mangohatch.peer.bus import PeerBus

__all__ = ["RelayChooser", "RelayRefusal"]

AVOID_MS = 1_000.0  # peers that are cut off too, or refuse for another reason


class RelayRefusal(StrEnum):
    """Why a peer opens no connection to an upstream for another host."""

    BUSY = "busy"
    CUT_OFF = "cut_off"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    NOT_A_MEMBER = "not_a_member"
    UNKNOWN_UPSTREAM = "unknown_upstream"
    UNREACHABLE = "unreachable"


# What a peer says about the upstream, which is no reason to avoid the peer.
UPSTREAM_REFUSALS = frozenset({RelayRefusal.EVACUATED, RelayRefusal.UNREACHABLE})


class RelayChooser:
    """
    Orders the peers by the connections that this host has through them.

    Peers of the own zone come first among equals, and others in random order, so that
    the hosts of a zone that is cut off spread over all peers. Peers that were late come
    last: they may be the only ones that are not cut off.

    ``opened`` and ``refused`` count connections through peers.

    :param clock: source of time
    :param rng: source of random numbers
    :param bus: lists the members of the fleet
    :param zone: availability zone of this host
    """

    def __init__(
        self, *, clock: Clock, rng: random.Random, bus: PeerBus, zone: str
    ) -> None:
        self.opened = 0
        self.refused: Counter[str] = Counter()
        self._clock = clock
        self._rng = rng
        self._bus = bus
        self._zone = zone
        self._open: Counter[str] = Counter()
        self._avoid_until_ms: dict[str, float] = {}
        self._late_until_ms: dict[str, float] = {}

    def candidates(self) -> Iterator[str]:
        """
        Iterate over the peers to ask, best first.

        :return: host ids; peers that turn out to be unusable meanwhile are left out
        """
        now_ms = self._clock.now_ms()
        ranked = [
            (
                now_ms < self._late_until_ms.get(member.host_id, 0.0),
                self._open[member.host_id],
                member.zone != self._zone,
                self._rng.random(),
                member.host_id,
            )
            for member in self._bus.members()
            if member.host_id != self._bus.host_id and not member.leaving
        ]
        for *_, host_id in sorted(ranked):
            if self._clock.now_ms() >= self._avoid_until_ms.get(host_id, 0.0):
                yield host_id

    @property
    def in_use(self) -> bool:
        """Whether this host has connections through peers."""
        return bool(self._open)

    def is_usable(self, host_id: str) -> bool:
        """
        Return whether an idle connection through a peer may be used.

        :param host_id: id of the peer
        :return: False if the peer leaves or is gone
        """
        return any(
            member.host_id == host_id and not member.leaving
            for member in self._bus.members()
        )

    def zone_of(self, host_id: str) -> str:
        """
        Return the availability zone of a peer.

        :param host_id: id of the peer
        :return: name of the zone, empty if the peer is not a member
        """
        members = self._bus.members()
        zones = (item.zone for item in members if item.host_id == host_id)
        return next(zones, "")

    def record_opened(self, host_id: str) -> None:
        """
        Record a new connection through a peer.

        :param host_id: id of the peer
        """
        self.opened += 1
        self._open[host_id] += 1

    def record_closed(self, host_id: str) -> None:
        """
        Record the end of a connection through a peer.

        :param host_id: id of the peer
        """
        self._open[host_id] -= 1
        if self._open[host_id] <= 0:
            del self._open[host_id]

    def record_refused(self, host_id: str, cause: RelayRefusal | None) -> None:
        """
        Record that a peer opened no connection.

        :param host_id: id of the peer
        :param cause: its reason; None if it did not answer
        """
        self.refused[cause or "unanswered"] += 1
        if cause is None:
            self._late_until_ms[host_id] = self._clock.now_ms() + AVOID_MS
        elif cause not in UPSTREAM_REFUSALS:
            self._avoid_until_ms[host_id] = self._clock.now_ms() + AVOID_MS
