"""Data classes for the sentences of the operators' language."""

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
    """Subject of a question for rows."""

    SERVICES = "services"
    UPSTREAMS = "upstreams"
    HOSTS = "hosts"
    CONFIG = "config"
    QUARANTINE = "quarantine"
    ORDERS = "orders"


class Operator(StrEnum):
    """Comparison operator of a condition."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    GREATER = ">"
    AT_MOST = "<="
    AT_LEAST = ">="


@dataclass(slots=True, kw_only=True, frozen=True)
class Condition:
    """Compares a field of each row with a value."""

    field: str
    operator: Operator
    value: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ShowRows:
    """Requests the rows of a subject; an empty ``service`` selects all services."""

    subject: Subject
    service: str = ""
    conditions: tuple[Condition, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class ShowEvents:
    """
    Requests events; a scope left empty selects the events of all its values.

    ``since_ms`` is the maximum age in milliseconds, 0 for no maximum. ``limit`` is the
    maximum number of events, 0 for the default of the host.
    """

    request: str = ""
    upstream: str = ""
    service: str = ""
    host: str = ""
    kind: str = ""
    since_ms: float = 0.0
    limit: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class ExplainRequest:
    """Requests an explanation of what happened to a request, and why."""

    request: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DrainUpstream:
    """Orders that an upstream stops or resumes accepting new requests."""

    service: str
    upstream: str
    draining: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class SetField:
    """Orders that a field of a service is changed; ``field`` is a dotted path."""

    service: str
    field: str
    value: str


@dataclass(slots=True, kw_only=True, frozen=True)
class AddUpstream:
    """Orders that an upstream is added to a service."""

    service: str
    upstream: str
    address: str
    port: int
    zone: str
    slots: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class RemoveUpstream:
    """Orders that an upstream is removed from a service."""

    service: str
    upstream: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclareService:
    """Orders that a service is created, or replaced if the name exists."""

    json: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReleaseRequest:
    """Orders that a quarantined request is released, so that it may run again."""

    service: str
    fingerprint: str


OrderSentence = DrainUpstream | SetField | AddUpstream | RemoveUpstream | DeclareService
Sentence = ShowRows | ShowEvents | ExplainRequest | ReleaseRequest | OrderSentence
