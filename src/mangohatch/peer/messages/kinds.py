"""Registry of the message kinds that this process can decode."""

from dataclasses import dataclass
from typing import TypeVar, dataclass_transform

__all__ = ["KINDS", "message"]

# Holds only the kinds of imported modules, so a message that no component of this
# process handles is of an unknown kind.
KINDS: dict[str, type] = {}

Message = TypeVar("Message")


@dataclass_transform(kw_only_default=True)
def message(cls: type[Message]) -> type[Message]:
    """
    Make a data class and register it for the thrift struct of the same name.

    :param cls: a class with the fields of the struct and their defaults
    :return: the data class
    """
    made: type[Message] = dataclass(slots=True, kw_only=True)(cls)
    KINDS[made.__name__] = made
    return made
