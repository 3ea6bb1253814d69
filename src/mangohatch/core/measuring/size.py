"""Estimated sizes of slot messages on the wire."""

from mangohatch.peer.messages.slots import SlotGrant, SlotRequest, SlotReturn

__all__ = ["size_of"]

FRAME_BYTES = 56
DOUBLE_BYTES = 9
TOKEN_BYTES = 6
USE_BYTES = 30


def size_of(message: SlotRequest | SlotGrant | SlotReturn) -> int:
    """
    Return an upper bound of the encoded size of a message.

    :param message: the message
    :return: size in bytes with envelope and frame, slightly more than the codec needs
    """
    size = FRAME_BYTES + len(message.shard)
    match message:
        case SlotRequest():
            return size + 2 * DOUBLE_BYTES + names_size(message.avoid)
        case SlotGrant():
            tokens = TOKEN_BYTES * len(message.tokens)
            return size + 2 * DOUBLE_BYTES + tokens + names_size(message.upstreams)
        case SlotReturn():
            tokens = TOKEN_BYTES * len(message.held_tokens)
            uses = sum(USE_BYTES + len(use.upstream) for use in message.uses)
            return size + tokens + uses + names_size(message.held)


def names_size(names: list[str]) -> int:
    """
    Return the encoded size of a list of names.

    :param names: the names
    :return: size in bytes
    """
    return sum(len(name) + 1 for name in names)
