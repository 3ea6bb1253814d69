"""The kinds of message that this process knows."""

from dataclasses import dataclass
from typing import TypeVar, dataclass_transform

__all__ = ["KINDS", "message"]

# Only of modules that were imported: what nobody here reads is an unknown kind.
KINDS: dict[str, type] = {}

Message = TypeVar("Message")


@dataclass_transform(kw_only_default=True)
def message(cls: type[Message]) -> type[Message]:
    """
    Make a data class that stands for the thrift struct of the same name.

    :param cls: its fields and their defaults
    :return: the data class
    """
    made: type[Message] = dataclass(slots=True, kw_only=True)(cls)
    KINDS[made.__name__] = made
    return made
