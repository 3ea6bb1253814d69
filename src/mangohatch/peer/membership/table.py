"""Table of members with the order in which news replace each other."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from mangohatch.peer.messages.membership import Member

__all__ = ["UpdateResult", "Endpoint", "MemberRow", "MemberState", "MemberTable"]


class MemberState(StrEnum):
    """What is known of a member; within an incarnation the later state wins."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


RANKS = {state: rank for rank, state in enumerate(MemberState)}
NON_LIVE_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})


class UpdateResult(StrEnum):
    """Effect of a piece of news on the table."""

    NONE = "none"
    OUTDATED = "outdated"
    JOINED = "joined"
    UPDATED = "updated"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and port on which a peer listens."""

    address: str
    port: int


@dataclass(slots=True, kw_only=True)
class MemberRow:
    """One member; ``accusers`` are the hosts whose own probes of it failed."""

    host_id: str
    incarnation: int
    state: MemberState
    zone: str
    endpoint: Endpoint
    admin_port: int
    config_revision: int
    since_ms: float
    leaving: bool = False
    accusers: set[str] = field(default_factory=set)

    @property
    def live(self) -> bool:
        """
        Tell whether the member is believed alive.

        :return: False for dead and departed members
        """
        return self.state not in NON_LIVE_STATES

    @property
    def rank(self) -> tuple[int, int]:
        """
        Order news about this member.

        :return: incarnation and rank of the state
        """
        return self.incarnation, RANKS[self.state]

    def to_message(self) -> Member:
        """
        Make the message form of the row.

        :return: the message
        """
        return Member(
            host_id=self.host_id,
            incarnation=self.incarnation,
            state=self.state,
            zone=self.zone,
            address=self.endpoint.address,
            peer_port=self.endpoint.port,
            admin_port=self.admin_port,
            config_revision=self.config_revision,
            accusers=sorted(self.accusers),
        )


class MemberTable:
    """Members by host id, this host excluded."""

    def __init__(self) -> None:
        self.rows: dict[str, MemberRow] = {}

    def live(self) -> Iterator[MemberRow]:
        """
        Iterate over members believed alive.

        :return: rows in no order
        """
        return (row for row in self.rows.values() if row.live)

    def apply(self, update: Member, *, now_ms: float) -> UpdateResult:
        """
        Take in news of another member if they are newer than what is known.

        :param update: the member as another host knows it
        :param now_ms: monotonic time
        :return: what changed
        """
        state = MemberState(update.state)
        row = self.rows.get(update.host_id)
        rank = (update.incarnation, RANKS[state])
        if row is not None and rank <= row.rank:
            return self.merge_update(row, update, rank)
        new_row = make_row(update, state, now_ms=now_ms)
        if row is not None and row.incarnation == new_row.incarnation:
            new_row.leaving = new_row.leaving or row.leaving
        self.rows[update.host_id] = new_row
        if (row is None or not row.live) and new_row.live:
            return UpdateResult.JOINED
        if row is None:
            return UpdateResult.NONE
        return UpdateResult.UPDATED

    @staticmethod
    def merge_update(
        row: MemberRow, update: Member, rank: tuple[int, int]
    ) -> UpdateResult:
        """
        Take in news that do not replace the row.

        :param row: the known member
        :param update: the member as another host knows it
        :param rank: rank of the news
        :return: what changed
        """
        if rank < row.rank:
            return UpdateResult.OUTDATED
        row.config_revision = max(row.config_revision, update.config_revision)
        if row.state is MemberState.SUSPECT and not row.accusers.issuperset(
            update.accusers
        ):
            row.accusers.update(update.accusers)
            return UpdateResult.UPDATED
        return UpdateResult.NONE

    def digest(self, own: Member) -> int:
        """
        Hash the live members, this host included.

        :param own: this host
        :return: a signed 64-bit hash
        """
        lines = [f"{own.host_id} {own.incarnation} {own.state}"]
        for row in self.rows.values():
            if row.live:
                lines.append(f"{row.host_id} {row.incarnation} {row.state}")
        text = "\n".join(sorted(lines))
        return xxhash.xxh64_intdigest(text.encode()) - (1 << 63)


def make_row(update: Member, state: MemberState, *, now_ms: float) -> MemberRow:
    """
    Make a row from news.

    :param update: the member as another host knows it
    :param state: its parsed state
    :param now_ms: monotonic time
    :return: the row
    """
    return MemberRow(
        host_id=update.host_id,
        incarnation=update.incarnation,
        state=state,
        zone=update.zone,
        endpoint=Endpoint(update.address, update.peer_port),
        admin_port=update.admin_port,
        config_revision=update.config_revision,
        since_ms=now_ms,
        leaving=state is MemberState.LEAVING,
        accusers=set(update.accusers),
    )
