"""Samples that the parts of a host contribute to its metrics."""

from collections import Counter
from collections.abc import Iterator

from mangohatch.core.measuring import MeasuringCounter
from mangohatch.metrics import Sample, SampleKind

__all__ = ["measuring_samples", "store_samples"]


def make_counter(name: str, text: str, value: float, **labels: str) -> Sample:
    """
    Make a sample of a counter.

    :param name: name of the metric
    :param text: help text
    :param value: the count
    :param labels: labels by name
    :return: the sample
    """
    return Sample(
        name=name,
        help=text,
        kind=SampleKind.COUNTER,
        value=value,
        labels=tuple(labels.items()),
    )


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
