"""Metric samples that other components of a host add to the exposition."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Sample", "SampleKind", "make_counter"]


class SampleKind(StrEnum):
    """Metric type: a counter only increases, a gauge may also decrease."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(slots=True, kw_only=True, frozen=True)
class Sample:
    """One value; samples with the same name share kind, help and label names."""

    name: str
    help: str
    kind: SampleKind
    value: float
    labels: tuple[tuple[str, str], ...] = ()


def make_counter(name: str, text: str, value: float, **labels: str) -> Sample:
    """
    Make a counter sample.

    :param name: name of the metric
    :param text: help text of the metric
    :param value: current count
    :param labels: label values by label name
    :return: the sample
    """
    return Sample(
        name=name,
        help=text,
        kind=SampleKind.COUNTER,
        value=value,
        labels=tuple(labels.items()),
    )
