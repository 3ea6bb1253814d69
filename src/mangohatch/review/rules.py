"""Rules that a configuration has to keep."""

import math
import re
from abc import ABC, abstractmethod
from collections.abc import Iterator

from mangohatch.review.declared import DeclaredConfiguration, DeclaredRoute
from mangohatch.review.finding import Finding, Severity

__all__ = ["RULES", "Rule", "review"]

ACCOUNT_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,128}")  # a token of RFC 9110


class Rule(ABC):
    """Checks one property of a whole configuration."""

    @abstractmethod
    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        """
        Check a configuration.

        :param config: the configuration
        :return: the findings
        """


class UniqueNames(Rule):
    """Entries of one type have different names."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        for entries in (config.routes, config.services, config.accounts):
            seen: dict[str, str] = {}
            for entry in entries:
                first = seen.setdefault(entry.name, entry.place)
                if first != entry.place:
                    yield error(
                        "duplicate_name",
                        f"{entry.place}.name",
                        f"{entry.name!r}, which {first} has too",
                        "a name of its own",
                    )


class KnownServices(Rule):
    """Routes send requests to declared services."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        known = {service.name for service in config.services}
        for route in config.routes:
            for service, _ in route.targets:
                if service not in known:
                    yield error(
                        "unknown_service",
                        f"{route.place}.service",
                        repr(service),
                        "a declared service",
                    )


class UsedServices(Rule):
    """Some route sends requests to each service."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        used = {
            service
            for route in config.routes
            for service, weight in route.targets
            if weight > 0.0
        }
        for service in config.services:
            if service.name not in used:
                yield warning(
                    "unused_service",
                    f"{service.place}.name",
                    f"{service.name!r}, to which no route sends requests",
                    "a route to it",
                )


class Weights(Rule):
    """The weights of a route are not negative and have a sum above 0."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        for route in config.routes:
            weights = [weight for _, weight in route.targets]
            if any(weight < 0.0 for weight in weights):
                yield error(
                    "negative_weight",
                    f"{route.place}.weight",
                    f"{min(weights):g}",
                    "weights of at least 0",
                )
            elif sum(weights) <= 0.0:
                yield error(
                    "no_weight",
                    f"{route.place}.weight",
                    "a sum of 0",
                    "a weight above 0",
                )


class ReachableRoutes(Rule):
    """No route is hidden by another one, and prefixes can match."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        seen: dict[tuple[str, str], DeclaredRoute] = {}
        for route in config.routes:
            if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
                yield error(
                    "prefix_malformed",
                    f"{route.place}.prefix",
                    f"{route.prefix!r}, which matches no path",
                    "a slash at the begin and at the end",
                )
                continue
            other = seen.setdefault((route.host.lower(), route.prefix), route)
            if other is not route:
                yield error(
                    "route_hidden",
                    f"{other.place}.prefix",
                    f"{other.host}{other.prefix}, which {route.place} has too",
                    "one route for each host and prefix",
                )


class Times(Rule):
    """Timeouts are above 0 and not below the objective."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        for route in config.routes:
            if not 0.0 < route.timeout_ms < math.inf:
                yield error(
                    "timeout_invalid",
                    f"{route.place}.timeout",
                    f"{route.timeout_ms:g} ms",
                    "a time above 0",
                )
            elif route.timeout_ms < route.objective_ms < math.inf:
                yield warning(
                    "timeout_below_objective",
                    f"{route.place}.timeout",
                    f"{route.timeout_ms:g} ms, below the objective of"
                    f" {route.objective_ms:g} ms",
                    "a timeout of at least the objective",
                )


class Attempts(Rule):
    """Routes allow an attempt, and no more of them than the retry budget."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        ratio = config.retry_ratio
        for route in config.routes:
            place = f"{route.place}.max_attempts"
            attempts = route.max_attempts
            if attempts is None:
                continue
            if attempts < 1:
                yield error("no_attempts", place, str(attempts), "at least 1")
            elif ratio is not None and (attempts - 1) * ratio > 1.0:
                yield warning(
                    "attempts_beyond_budget",
                    place,
                    f"{attempts}, of which each request could spend the retries of"
                    f" {(attempts - 1) / ratio:.0f} requests",
                    f"at most {1 + int(1.0 / ratio)} at a retry ratio of {ratio:g}",
                )


class Connections(Rule):
    """Upstreams may have connections."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        for service in config.services:
            if service.connections < 1:
                yield error(
                    "no_connections",
                    f"{service.place}.connections",
                    str(service.connections),
                    "at least 1",
                )


class AccountKeys(Rule):
    """Accounts have names for a header field, and keys that no other account has."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        owners: dict[bytes, str] = {}
        for account in config.accounts:
            if ACCOUNT_NAME.fullmatch(account.name) is None:
                yield error(
                    "account_name_malformed",
                    f"{account.place}.name",
                    repr(account.name),
                    "letters, digits and !#$%&'*+-.^_`|~",
                )
            if not account.digests:
                yield warning(
                    "account_without_keys", f"{account.place}.keys", "none", "a key"
                )
            for number, digest in enumerate(account.digests):
                owner = owners.setdefault(digest, account.name)
                if owner != account.name:
                    yield error(
                        "shared_key",
                        f"{account.place}.keys[{number}]",
                        f"a key that account {owner!r} has too",
                        "a key of one account",
                    )


class Quotas(Rule):
    """Quotas are consistent, and the services can run them."""

    def check(self, config: DeclaredConfiguration) -> Iterator[Finding]:
        total = math.inf if config.capacity_per_s is None else config.capacity_per_s
        for account in config.accounts:
            if account.per_s < 0.0 or account.burst < 0.0:
                value = f"{min(account.per_s, account.burst):g}"
                yield error(
                    "negative_quota", f"{account.place}.quota", value, "at least 0"
                )
            elif account.per_s > 0.0 and account.burst < 1.0:
                yield error(
                    "burst_below_one",
                    f"{account.place}.burst",
                    f"{account.burst:g}, which permits no request",
                    "at least 1",
                )
            elif account.per_s > total:
                yield warning(
                    "quota_above_capacity",
                    f"{account.place}.quota",
                    f"{account.per_s:g} requests a second",
                    f"at most {total:g}, which all services together run",
                )


RULES: tuple[Rule, ...] = (
    UniqueNames(),
    KnownServices(),
    UsedServices(),
    Weights(),
    ReachableRoutes(),
    Times(),
    Attempts(),
    Connections(),
    AccountKeys(),
    Quotas(),
)


def review(config: DeclaredConfiguration) -> list[Finding]:
    """
    Check a configuration by all rules.

    :param config: the configuration
    :return: what could not be read, and the findings of the rules
    """
    return [
        *config.problems,
        *(finding for rule in RULES for finding in rule.check(config)),
    ]


def error(code: str, place: str, value: str, expected: str) -> Finding:
    """
    Make an error.

    :param code: identifies the rule
    :param place: the field within the document
    :param value: what was found
    :param expected: what was expected
    :return: the finding
    """
    return Finding(
        severity=Severity.ERROR, code=code, place=place, value=value, expected=expected
    )


def warning(code: str, place: str, value: str, expected: str) -> Finding:
    """
    Make a warning.

    :param code: identifies the rule
    :param place: the field within the document
    :param value: what was found
    :param expected: what was expected
    :return: the finding
    """
    return Finding(
        severity=Severity.WARNING,
        code=code,
        place=place,
        value=value,
        expected=expected,
    )
