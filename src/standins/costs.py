"""Costs of measuring and coordination, computed from metrics of entry hosts."""

from standins.caller import Costs
from standins.scrape import Totals

__all__ = ["collect_costs"]


def collect_costs(totals: Totals, *, store_calls: float = 0.0) -> Costs:
    """
    Sum the costs of measuring and coordination.

    :param totals: values by sample name, summed over entry hosts
    :param store_calls: number of calls that the object API counted
    :return: the costs
    """
    byte_count = totals["mangohatch_measuring_call_bytes_total"]
    byte_count += totals["mangohatch_measuring_message_bytes_total"]
    return Costs(
        measuring_calls=totals["mangohatch_measuring_calls_total"],
        measuring_bytes=byte_count,
        store_calls=store_calls,
    )
