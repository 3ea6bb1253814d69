"""Values that other parts of a host contribute to the exposition."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Sample", "SampleKind"]


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
