"""Local health: a host that is slow itself suspects others less readily."""

__all__ = ["LocalHealth"]

MAX_SCORE = 8


class LocalHealth:
    """Score of this host's own slowness; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """
        Factor by which timeouts are extended.

        :return: 1 for a healthy host
        """
        return self.score + 1

    def degrade(self) -> None:
        """Count a sign that this host is slow or badly connected."""
        self.score = min(self.score + 1, MAX_SCORE)

    def improve(self) -> None:
        """Count a probe that was answered in time."""
        self.score = max(self.score - 1, 0)
