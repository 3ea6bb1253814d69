"""Metric samples of load measuring and of calls to the object API."""

from collections import Counter
from collections.abc import Iterator

from mangohatch.core.measuring import MeasuringCounter
from mangohatch.metrics import Sample, make_counter

__all__ = ["measuring_samples", "store_samples"]


def measuring_samples(counters: dict[str, MeasuringCounter]) -> Iterator[Sample]:
    """
    Yield the cost of measuring and coordination by service.

    :param counters: cost counters by service name
    :return: one counter sample per service and kind of cost
    """
    for name, counter in counters.items():
        values = {
            "calls": counter.calls,
            "call_bytes": counter.call_bytes,
            "messages": counter.messages,
            "message_bytes": counter.message_bytes,
            "denied": counter.denied,
        }
        for kind, value in values.items():
            yield make_counter(
                f"mangohatch_measuring_{kind}",
                f"Measuring and coordination: {kind.replace('_', ' ')}.",
                value,
                service=name,
            )


def store_samples(calls: Counter[tuple[str, str]]) -> Iterator[Sample]:
    """
    Yield the number of calls to the object API by role and kind.

    :param calls: number of calls by role and kind of call
    :return: one counter sample per role and kind
    """
    for (role, kind), value in calls.items():
        yield make_counter(
            "mangohatch_store_calls",
            "Calls to the object API.",
            value,
            role=role,
            kind=kind,
        )
