"""Choice between warm and cold upstreams."""

from mangohatch.core.tables import UpstreamRow

__all__ = ["prefer_warm"]


def prefer_warm(
    estimates: list[tuple[float, UpstreamRow]], slow_ms: float
) -> list[tuple[float, UpstreamRow]]:
    """
    Leave out cold upstreams if a warm one is free and not slow.

    Designed for upstreams that return cold, such as those of a zone: the rate of their
    permits is low, so they take what the warm ones cannot.

    :param estimates: expected milliseconds and free upstreams
    :param slow_ms: time from which an upstream counts as slow, in milliseconds
    :return: the estimates to choose from
    """
    warm = [item for item in estimates if not item[1].cold.cold]
    return warm if any(time_ms < slow_ms for time_ms, _ in warm) else estimates
