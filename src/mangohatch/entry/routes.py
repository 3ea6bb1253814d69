"""Service, idempotency and deadline of a request."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from mangohatch.core.tables import ServiceRow
from mangohatch.errors import BadRequest, NoRoute

if TYPE_CHECKING:
    from mangohatch.config import ServiceSpec

__all__ = [
    "clip_deadline_ms",
    "find_service",
    "is_idempotent",
    "matches_prefix",
    "read_attempt",
]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_DEADLINE_MS = 600_000.0
MAX_ATTEMPT_DIGITS = 3
MAX_DEADLINE_DIGITS = 12


def matches_prefix(path: str, prefix: str) -> bool:
    """
    Return whether a path matches a prefix that ends on a segment boundary.

    :param path: decoded path
    :param prefix: prefix with a leading slash
    :return: whether the path is the prefix itself or lies below it
    """
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"


def find_service(services: Mapping[str, ServiceRow], path: str) -> ServiceRow:
    """
    Find the service for a path.

    :param services: services by name
    :param path: decoded path
    :return: the service with the longest matching prefix
    :raises NoRoute: when no service matches
    """
    found = None
    longest = -1
    for row in services.values():
        prefix = row.spec.path_prefix
        if len(prefix) > longest and matches_prefix(path, prefix):
            found = row
            longest = len(prefix)
    if found is None:
        raise NoRoute("no service serves this path")
    return found


def is_idempotent(spec: "ServiceSpec", method: str, path: str) -> bool:
    """
    Return whether a request may safely run more than once.

    :param spec: the service
    :param method: request method
    :param path: decoded path
    :return: value of the first matching rule; without one, the default of the method
    """
    for rule in spec.rules:
        if rule.method == method and matches_prefix(path, rule.path_prefix):
            return rule.idempotent
    return method in IDEMPOTENT_METHODS


def read_attempt(text: str | None) -> int:
    """
    Parse the attempt number set by the caller.

    :param text: value of the attempt header; None when it is missing
    :return: attempt number, 1 for the first attempt
    :raises BadRequest: when the value is not a whole number of at most three digits
    """
    if text is None:
        return 1
    if not text.isascii() or not text.isdigit() or len(text) > MAX_ATTEMPT_DIGITS:
        raise BadRequest("X-Attempt is not a whole number")
    return max(int(text), 1)


def clip_deadline_ms(text: str | None, default_ms: float) -> float:
    """
    Parse the time limit that a caller sets for its request.

    :param text: value of the deadline header; None when it is missing
    :param default_ms: limit in milliseconds when the header is missing
    :return: limit in milliseconds; a limit set by the caller is at most ten minutes
    :raises BadRequest: when the value is not a whole number of milliseconds
    """
    if text is None:
        return default_ms
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        raise BadRequest("X-Deadline-Ms is not a whole number of milliseconds")
    return min(float(text), MAX_DEADLINE_MS)
