"""What entry hosts spent on measuring, from their metrics."""

from standins.caller import Costs
from standins.scrape import Totals

__all__ = ["costs_of"]


def costs_of(totals: Totals, *, store_calls: float = 0.0) -> Costs:
    """
    Sum measuring and coordination.

    :param totals: values by sample name, summed over entry hosts
    :param store_calls: calls that the object API counted
    :return: the costs
    """
    size = totals["mangohatch_measuring_call_bytes_total"]
    size += totals["mangohatch_measuring_message_bytes_total"]
    return Costs(
        measuring_calls=totals["mangohatch_measuring_calls_total"],
        measuring_bytes=size,
        store_calls=store_calls,
    )
