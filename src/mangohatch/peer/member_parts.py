"""Member tables in parts that fit into datagrams without fragments."""

from collections.abc import Iterator

from mangohatch.peer.messages.membership import Member, MemberSync

__all__ = ["MAX_PART_BYTES", "split_sync"]

MAX_PART_BYTES = 1_250  # leaves room for the envelope in an Ethernet frame
NUMBER_BYTES = 32  # integers, lengths and field headers of an entry


def entry_bytes(member: Member) -> int:
    """
    Estimate the encoded size of an entry from above.

    :param member: entry of a member
    :return: bytes
    """
    texts = (member.host_id, member.state, member.zone, member.address)
    return NUMBER_BYTES + sum(
        len(text.encode()) + 1 for text in (*texts, *member.accusers)
    )


def split_sync(message: MemberSync) -> Iterator[MemberSync]:
    """
    Split a member table so that a fleet of any size can be sent.

    Only the first part asks for a reply: it has the entry of the sender.

    :param message: a member table
    :return: parts in the order of the entries, at least one
    """
    part = MemberSync(reply_wanted=message.reply_wanted)
    part_bytes = 0
    for member in message.members:
        size = entry_bytes(member)
        if part.members and part_bytes + size > MAX_PART_BYTES:
            yield part
            part = MemberSync()
            part_bytes = 0
        part.members.append(member)
        part_bytes += size
    yield part
