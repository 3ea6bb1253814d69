"""A configuration as operators declare it, independent of its format."""

from dataclasses import dataclass, field

from mangohatch.review.finding import Finding

__all__ = [
    "DeclaredAccount",
    "DeclaredConfiguration",
    "DeclaredRoute",
    "DeclaredService",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclaredRoute:
    """
    A route; ``targets`` holds the weights of services by name. Times are in ms.

    ``objective_ms`` is infinite and ``max_attempts`` None where the format has none.
    """

    place: str
    name: str
    host: str
    prefix: str
    targets: tuple[tuple[str, float], ...]
    timeout_ms: float
    objective_ms: float
    max_attempts: int | None
    settings: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclaredService:
    """A service with the most connections to one of its upstreams."""

    place: str
    name: str
    connections: int
    settings: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclaredAccount:
    """
    A client account with the digests of its keys.

    ``per_s`` is its quota in requests a second, 0 for none, and ``burst`` what it may
    send at once beyond that.
    """

    place: str
    name: str
    digests: tuple[bytes, ...]
    per_s: float
    burst: float
    settings: str = ""


@dataclass(slots=True, kw_only=True)
class DeclaredConfiguration:
    """
    All entries that could be read.

    ``title`` identifies it, and ``problems`` holds what could not be read.
    ``retry_ratio`` is the share of requests that may be retried, and ``capacity_per_s``
    what all services together run in requests a second; None if not known.
    """

    title: str = ""
    version: int | None = None
    routes: list[DeclaredRoute] = field(default_factory=list)
    services: list[DeclaredService] = field(default_factory=list)
    accounts: list[DeclaredAccount] = field(default_factory=list)
    problems: list[Finding] = field(default_factory=list)
    retry_ratio: float | None = None
    capacity_per_s: float | None = None
