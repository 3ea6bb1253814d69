"""Local health multiplier of Lifeguard: a slow host extends its own timeouts."""

__all__ = ["LocalHealth"]


class LocalHealth:
    """
    Local health score; 0 is healthy, higher means slow or badly connected.

    :param max_score: limit of the score
    """

    def __init__(self, *, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    @property
    def multiplier(self) -> int:
        """
        Return the factor by which timeouts are extended.

        :return: 1 for a healthy host
        """
        return self.score + 1

    def degrade(self) -> None:
        """Count an event that indicates that this host is slow or badly connected."""
        self.score = min(self.score + 1, self._max_score)

    def improve(self) -> None:
        """Count a probe that was acknowledged in time."""
        self.score = max(self.score - 1, 0)
