"""Second attempts beside slow ones."""

from collections.abc import Iterator

from mangohatch.core.hedging import HedgeRefusal, HedgeSystem
from mangohatch.fleet.part import HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, make_counter

__all__ = ["Hedging"]


class Hedging(HostPart):
    """
    Applies the settings of hedges, and counts them where operators permit any.

    :param hedges: decides about each hedge
    """

    name = "hedging"

    def __init__(self, *, hedges: HedgeSystem) -> None:
        self.hedges = hedges

    def samples(self) -> Iterator[Sample]:
        hedges = self.hedges
        if not hedges.enabled and not hedges.sent:
            return
        yield make_counter(
            "mangohatch_hedges_sent",
            "Second attempts that were sent beside a slow one.",
            hedges.sent,
        )
        yield make_counter(
            "mangohatch_hedges_won",
            "Second attempts whose response was delivered.",
            hedges.won,
        )
        for cause in HedgeRefusal:
            yield make_counter(
                "mangohatch_hedges_refused",
                "Late requests that got no second attempt, by cause.",
                hedges.refused[cause],
                cause=cause,
            )

    def leave(self, *, answer_by_ms: float) -> None:
        self.hedges.leaving = True

    def reload(self, cfg: FleetSettings) -> None:
        self.hedges.set_ratio(cfg.bounds.hedge_ratio)
