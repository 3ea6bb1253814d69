"""Samples that the parts of a host contribute to its metrics."""

from collections import Counter
from collections.abc import Iterator

from mangohatch.core.measuring import MeasuringCounter
from mangohatch.metrics import Sample, make_counter

__all__ = ["measuring_samples", "store_samples"]


def measuring_samples(counters: dict[str, MeasuringCounter]) -> Iterator[Sample]:
    """
    Give what measuring and coordination cost, by service.

    :param counters: counters by service
    :return: samples
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
    Give calls to the object API, by role and kind.

    :param calls: counts by role and kind of call
    :return: samples
    """
    for (role, kind), value in calls.items():
        yield make_counter(
            "mangohatch_store_calls",
            "Calls to the object API.",
            value,
            role=role,
            kind=kind,
        )
