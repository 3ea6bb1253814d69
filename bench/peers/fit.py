"""Linear fit by least squares."""

from collections.abc import Sequence

__all__ = ["fit_line"]


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """
    Fit a line by least squares.

    :param points: pairs of x and y
    :return: slope and intercept
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x
