"""A finding in a configuration."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Finding", "Severity"]


class Severity(StrEnum):
    """How serious a finding is; a change is no problem by itself."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


@dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """
    One finding.

    ``code`` identifies the rule, ``place`` the field within the document. Keys of
    client accounts never appear in ``value``.
    """

    severity: Severity
    code: str
    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.severity} {self.code} {self.place}: {self.value}; expected"
            f" {self.expected}"
        )
