"""Base class of tasks that only the holder of the watch lease runs."""

from abc import ABC, abstractmethod

__all__ = ["LeaseholderTask"]


class LeaseholderTask(ABC):
    """Started when this host acquires the watch lease; cancelled when it is lost."""

    @abstractmethod
    async def run(self, epoch: int) -> None:
        """
        Run until cancelled.

        :param epoch: epoch of the lease
        """
