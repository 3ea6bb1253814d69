"""Public views of members, and the endpoint for replies to a member."""

from collections.abc import Iterable

from mangohatch.peer.bus import MemberView
from mangohatch.peer.membership.table import Endpoint, MemberRow, MemberState
from mangohatch.peer.messages.membership import Member

__all__ = ["make_own_view", "make_view", "reply_endpoint"]


def make_own_view(own: Member) -> MemberView:
    """
    Create the public view of this host.

    :param own: entry of this host
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
    Create the public view of a member.

    :param row: row of the member
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
    Return the endpoint to which a reply to the sender of a message goes.

    A host that was replaced while it was paused includes its own address in its
    messages, whereas its row in the table has the address of its successor.

    :param row: row of the sender
    :param members: entries in the message, which may include that of the sender
    :return: endpoint of the sender's entry in the message, else that of its row
    """
    for member in members:
        if member.host_id == row.host_id:
            return Endpoint(member.address, member.peer_port)
    return row.endpoint
