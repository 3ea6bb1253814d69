"""Table of members with the order in which news replace each other."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from mangohatch.peer.messages.membership import Member

__all__ = ["Change", "Endpoint", "MemberRow", "MemberState", "MemberTable"]


class MemberState(StrEnum):
    """What is known of a member; within an incarnation the later state wins."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


RANKS = {state: rank for rank, state in enumerate(MemberState)}
GONE = frozenset({MemberState.DEAD, MemberState.LEFT})


class Change(StrEnum):
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
        return self.state not in GONE

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

    def apply(self, news: Member, *, now_ms: float) -> Change:
        """
        Take in news of another member if they are newer than what is known.

        :param news: the member as another host knows it
        :param now_ms: monotonic time
        :return: what changed
        """
        state = MemberState(news.state)
        row = self.rows.get(news.host_id)
        rank = (news.incarnation, RANKS[state])
        if row is not None and rank <= row.rank:
            return self.apply_known(row, news, rank)
        fresh = make_row(news, state, now_ms=now_ms)
        if row is not None and row.incarnation == fresh.incarnation:
            fresh.leaving = fresh.leaving or row.leaving
        self.rows[news.host_id] = fresh
        if (row is None or not row.live) and fresh.live:
            return Change.JOINED
        if row is None:
            return Change.NONE
        return Change.UPDATED

    @staticmethod
    def apply_known(row: MemberRow, news: Member, rank: tuple[int, int]) -> Change:
        """
        Take in news that do not replace the row.

        :param row: the known member
        :param news: the member as another host knows it
        :param rank: rank of the news
        :return: what changed
        """
        if rank < row.rank:
            return Change.OUTDATED
        row.config_revision = max(row.config_revision, news.config_revision)
        if row.state is MemberState.SUSPECT and not row.accusers.issuperset(
            news.accusers
        ):
            row.accusers.update(news.accusers)
            return Change.UPDATED
        return Change.NONE

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


def make_row(news: Member, state: MemberState, *, now_ms: float) -> MemberRow:
    """
    Make a row from news.

    :param news: the member as another host knows it
    :param state: its parsed state
    :param now_ms: monotonic time
    :return: the row
    """
    return MemberRow(
        host_id=news.host_id,
        incarnation=news.incarnation,
        state=state,
        zone=news.zone,
        endpoint=Endpoint(news.address, news.peer_port),
        admin_port=news.admin_port,
        config_revision=news.config_revision,
        since_ms=now_ms,
        leaving=state is MemberState.LEAVING,
        accusers=set(news.accusers),
    )
