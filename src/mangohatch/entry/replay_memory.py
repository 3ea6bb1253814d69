"""Memory that the request bodies of a host share to be sent more than once."""

__all__ = ["ReplayMemory"]

DEFAULT_LIMIT_BYTES = 16_777_216  # a twelfth of the smallest hosts' memory


class ReplayMemory:
    """
    Bounds the bytes that all request bodies keep beyond their beginnings.

    :param limit_bytes: largest number of bytes kept at a time
    """

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, size: int) -> bool:
        """
        Reserve memory, if there is room.

        :param size: number of bytes
        :return: whether they are reserved
        """
        if self.used_bytes + size > self._limit_bytes:
            return False
        self.used_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """
        End a reservation.

        :param size: number of bytes that were reserved
        """
        self.used_bytes -= size
