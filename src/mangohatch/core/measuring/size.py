"""Sizes of slot messages on the wire."""

from mangohatch.peer.messages.slots import SlotGrant, SlotRequest, SlotReturn

__all__ = ["size_of"]

FRAME_BYTES = 56
DOUBLE_BYTES = 9
TOKEN_BYTES = 6
USE_BYTES = 30


def size_of(message: SlotRequest | SlotGrant | SlotReturn) -> int:
    """
    Bound the size of a message, envelope and frame included.

    :param message: the message
    :return: bytes, a little more than the codec needs
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
    Add up the sizes of names.

    :param names: names in a list
    :return: bytes
    """
    return sum(len(name) + 1 for name in names)
