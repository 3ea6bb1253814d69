"""Member table, and the precedence of updates about a member."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from mangohatch.peer.messages.membership import Member

__all__ = ["UpdateResult", "Endpoint", "MemberRow", "MemberState", "MemberTable"]


class MemberState(StrEnum):
    """State of a member; within an incarnation, later states override earlier ones."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


RANKS = {state: rank for rank, state in enumerate(MemberState)}
NON_LIVE_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})
ACCUSERS_KEPT = 4  # more do not shorten a suspicion


class UpdateResult(StrEnum):
    """Effect of an update on the table."""

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
    """A member; ``accusers`` are the hosts whose own probes of it have failed."""

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
        Return whether the member is considered live.

        :return: False for members that are dead or have left
        """
        return self.state not in NON_LIVE_STATES

    @property
    def rank(self) -> tuple[int, int]:
        """
        Return the precedence of this entry; an update of higher rank replaces it.

        :return: incarnation and rank of the state
        """
        return self.incarnation, RANKS[self.state]

    def to_message(self) -> Member:
        """
        Convert the row to a message.

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
    """Members by host id, without this host; ``suspects`` are the ids of suspects."""

    def __init__(self) -> None:
        self.rows: dict[str, MemberRow] = {}
        self.suspects: set[str] = set()

    def live(self) -> Iterator[MemberRow]:
        """
        Iterate over live members.

        :return: rows in no particular order
        """
        return (row for row in self.rows.values() if row.live)

    def apply(self, update: Member, *, now_ms: float) -> UpdateResult:
        """
        Apply an update of another member if it takes precedence over its row.

        :param update: entry of the member, as received from another host
        :param now_ms: monotonic time
        :return: effect of the update
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
        if state is MemberState.SUSPECT:
            self.suspects.add(update.host_id)
        else:
            self.suspects.discard(update.host_id)
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
        Merge an update that does not replace the row.

        Only an update of equal rank has an effect: it may raise the configuration
        revision and, for a suspect, add accusers.

        :param row: row of the member
        :param update: entry of the member, as received from another host
        :param rank: rank of the update
        :return: effect of the update
        """
        if rank < row.rank:
            return UpdateResult.OUTDATED
        row.config_revision = max(row.config_revision, update.config_revision)
        if (
            row.state is MemberState.SUSPECT
            and len(row.accusers) < ACCUSERS_KEPT
            and not row.accusers.issuperset(update.accusers)
        ):
            row.accusers.update(update.accusers)
            return UpdateResult.UPDATED
        return UpdateResult.NONE

    def digest(self, own: Member) -> int:
        """
        Compute the digest of all live members, this host included.

        :param own: entry of this host
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
    Create a row from an update.

    :param update: entry of the member, as received from another host
    :param state: parsed state of the entry
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
