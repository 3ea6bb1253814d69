"""What other parts and other hosts are told of members."""

from collections.abc import Iterable

from mangohatch.peer.bus import MemberView
from mangohatch.peer.membership.table import Endpoint, MemberRow, MemberState
from mangohatch.peer.messages.membership import Member

__all__ = ["make_own_view", "make_view", "reply_endpoint"]


def make_own_view(own: Member) -> MemberView:
    """
    Make the public view of this host.

    :param own: its entry
    :return: the view
    """
    return MemberView(
        host_id=own.host_id,
        incarnation=own.incarnation,
        zone=own.zone,
        leaving=own.state != MemberState.ALIVE,
    )


def make_view(row: MemberRow) -> MemberView:
    """
    Make the public view of a member.

    :param row: the member
    :return: the view
    """
    return MemberView(
        host_id=row.host_id,
        incarnation=row.incarnation,
        zone=row.zone,
        leaving=row.leaving,
    )


def reply_endpoint(row: MemberRow, members: Iterable[Member]) -> Endpoint:
    """
    Find where the sender of a message listens.

    A replaced host that woke up states its own address, not its successor's.

    :param row: what is known of the sender
    :param members: members named by the message, the sender among them
    :return: the address stated, else the known one
    """
    for member in members:
        if member.host_id == row.host_id:
            return Endpoint(member.address, member.peer_port)
    return row.endpoint
