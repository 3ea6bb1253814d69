"""Sentences of the operators' language, as data."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "AddUpstream",
    "Condition",
    "DeclareService",
    "DrainUpstream",
    "ExplainRequest",
    "Operator",
    "OrderSentence",
    "ReleaseRequest",
    "RemoveUpstream",
    "Sentence",
    "SetField",
    "ShowEvents",
    "ShowRows",
    "Subject",
]


class Subject(StrEnum):
    """What a question is about."""

    SERVICES = "services"
    UPSTREAMS = "upstreams"
    HOSTS = "hosts"
    CONFIG = "config"
    QUARANTINE = "quarantine"
    ORDERS = "orders"


class Operator(StrEnum):
    """Comparison in a condition."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    GREATER = ">"
    AT_MOST = "<="
    AT_LEAST = ">="


@dataclass(slots=True, kw_only=True, frozen=True)
class Condition:
    """A comparison of a field of a row with a value."""

    field: str
    operator: Operator
    value: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ShowRows:
    """Asks for rows of a subject; an empty ``service`` means all."""

    subject: Subject
    service: str = ""
    conditions: tuple[Condition, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class ShowEvents:
    """Asks for events; empty fields select all, ``since_ms`` is an age."""

    request: str = ""
    upstream: str = ""
    service: str = ""
    host: str = ""
    kind: str = ""
    since_ms: float = 0.0
    limit: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class ExplainRequest:
    """Asks what happened to a request, and why."""

    request: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DrainUpstream:
    """Orders that an upstream takes no new work, or takes it again."""

    service: str
    upstream: str
    draining: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class SetField:
    """Orders a new value of a field of a service; ``field`` is a dotted path."""

    service: str
    field: str
    value: str


@dataclass(slots=True, kw_only=True, frozen=True)
class AddUpstream:
    """Orders a new upstream of a service."""

    service: str
    upstream: str
    address: str
    port: int
    zone: str
    slots: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class RemoveUpstream:
    """Orders that an upstream is no longer part of a service."""

    service: str
    upstream: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclareService:
    """Orders a whole service, new or in place of the one of that name."""

    json: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReleaseRequest:
    """Orders that a quarantined request may run again."""

    service: str
    fingerprint: str


OrderSentence = DrainUpstream | SetField | AddUpstream | RemoveUpstream | DeclareService
Sentence = ShowRows | ShowEvents | ExplainRequest | ReleaseRequest | OrderSentence
