"""The interface through which questions read the tables of a host."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.language import Subject

__all__ = ["RowSource"]


class RowSource(ABC):
    """Lists the rows of one subject without blocking."""

    @property
    @abstractmethod
    def subject(self) -> Subject:
        """Subject of the rows."""

    @property
    def label(self) -> str:
        """Origin of the rows, as shown to operators."""
        return "memory"

    @abstractmethod
    def rows(self, service: str) -> Iterable[Row]:
        """
        List the current rows.

        :param service: name of the service to list; empty for all services
        :return: rows with the columns of the subject
        """
