"""Interface of a measured slope, and its linear fit."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression

__all__ = ["Fit", "Slope", "measure_slope"]

RUNS = 5


class Slope(ABC):
    """A cost that is expected to grow linearly with a size."""

    name: str
    unit: str
    per: str
    sizes: Sequence[int]

    @abstractmethod
    def measure(self, size: int) -> float:
        """
        Measure the total cost once.

        :param size: number of units named by ``per``
        :return: total cost in ``unit``
        """


@dataclass(slots=True, kw_only=True, frozen=True)
class Fit:
    """
    The slope of a cost over its measured range.

    ``low`` and ``high`` are the minimum and the maximum slope over the runs; ``fixed``
    is the cost at size 0.
    """

    name: str
    unit: str
    per: str
    smallest: int
    largest: int
    slope: float
    low: float
    high: float
    fixed: float
    runs: int


def measure_slope(slope: Slope, *, runs: int = RUNS) -> Fit:
    """
    Measure a slope several times and fit each run by least squares.

    :param slope: cost to measure
    :param runs: number of runs
    :return: fit of the run with the median slope, with the spread over all runs
    """
    fits = []
    for _ in range(runs):
        costs = [slope.measure(size) for size in slope.sizes]
        fits.append(linear_regression(slope.sizes, costs))
    fits.sort(key=lambda fit: fit.slope)
    median_fit = fits[len(fits) // 2]
    return Fit(
        name=slope.name,
        unit=slope.unit,
        per=slope.per,
        smallest=min(slope.sizes),
        largest=max(slope.sizes),
        slope=median_fit.slope,
        low=fits[0].slope,
        high=fits[-1].slope,
        fixed=median_fit.intercept,
        runs=runs,
    )
