"""The interface between questions and the tables of a host."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.language import Subject

__all__ = ["RowSource"]


class RowSource(ABC):
    """Gives the rows of one subject; it never waits."""

    @property
    @abstractmethod
    def subject(self) -> Subject:
        """The subject of the rows."""

    @property
    def label(self) -> str:
        """Where the rows come from, as operators read it."""
        return "memory"

    @abstractmethod
    def rows(self, service: str) -> Iterable[Row]:
        """
        List rows as of now.

        :param service: only rows of this service; empty for all
        :return: rows with the columns of the subject
        """
