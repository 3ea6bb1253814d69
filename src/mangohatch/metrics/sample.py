"""Values that other parts of a host contribute to the exposition."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Sample", "SampleKind", "make_counter"]


class SampleKind(StrEnum):
    """Whether a value only grows."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(slots=True, kw_only=True, frozen=True)
class Sample:
    """One value; samples of the same name share kind, help and label names."""

    name: str
    help: str
    kind: SampleKind
    value: float
    labels: tuple[tuple[str, str], ...] = ()


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
