"""Work that only the holder of the watch lease does."""

from abc import ABC, abstractmethod

__all__ = ["LeaseholderTask"]


class LeaseholderTask(ABC):
    """A task that starts with the lease and is cancelled when the lease is lost."""

    @abstractmethod
    async def run(self, epoch: int) -> None:
        """
        Work until cancelled.

        :param epoch: epoch of the lease
        """
