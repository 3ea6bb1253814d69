"""Decodes the configuration of the platform into the types of this program."""

from functools import lru_cache
from typing import Any

import structlog

from mangohatch.core.accounts import Account
from mangohatch.core.routes import Route, Target
from mangohatch.directory.content import Configuration, ServiceOptions
from mangohatch.entry.limits import CallerLimits
from mangohatch.platform.accounts import check_accounts, read_account
from mangohatch.platform.cold import read_warm_up
from mangohatch.platform.json_text import decode_json
from mangohatch.platform.values import (
    DocumentError,
    check_whole,
    describe,
    parse_duration_ms,
    parse_names,
    parse_version,
    require_field,
)

__all__ = ["read_configuration"]

# Route kinds whose requests may run more than once.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
KNOWN_KINDS = IDEMPOTENT_KINDS | {"unsafe", "upload"}
MAX_LOGGED_KINDS = 64
NUMBER = (int, float)
MAX_WEIGHT = 1e9
MAX_WHOLE = 2**53

log = structlog.get_logger()


def read_configuration(text: str, *, follow_cold: bool = False) -> Configuration:
    """
    Read the configuration.

    :param text: content of the configuration object, as JSON
    :param follow_cold: whether cold upstreams are limited
    :return: the configuration
    :raises DocumentError: if a field is missing or has the wrong type
    """
    document = decode_json(text)
    routes: list[Route] = []
    services: dict[str, ServiceOptions] = {}
    limits = CallerLimits()
    accounts: list[Account] = []
    for entry in require_field(document, "resources", list):
        kind = require_field(entry, "type", str)
        spec = require_field(entry, "spec", dict)
        if kind == "routes":
            routes.append(read_route(read_name(entry), spec))
        elif kind == "services":
            name = read_name(entry)
            services[name] = ServiceOptions(
                health_path=require_field(spec, "health_check_path", str),
                connections=read_whole(spec, "max_connections"),
                warm_up=read_warm_up(name, spec) if follow_cold else None,
            )
        elif kind == "limits":
            limits = read_limits(spec)
        elif kind == "tenants":
            accounts.append(read_account(read_name(entry), spec))
    check_accounts(accounts)
    return Configuration(
        version=parse_version(document.get("version")),
        routes=tuple(routes),
        services=services,
        limits=limits,
        accounts=tuple(accounts),
    )


def read_name(entry: Any) -> str:
    """
    Read the name of a configuration entry.

    :param entry: the decoded entry
    :return: its name
    :raises DocumentError: if the entry has no name
    """
    return require_field(require_field(entry, "metadata", dict), "name", str)


def read_route(name: str, spec: dict[str, Any]) -> Route:
    """
    Read a route.

    :param name: name of the route
    :param spec: fields of the route
    :return: the route
    :raises DocumentError: if a field is missing or has the wrong type
    """
    if "traffic_split" in spec:
        targets = tuple(
            Target(
                service=require_field(split, "service", str),
                weight=read_weight(name, split),
            )
            for split in require_field(spec, "traffic_split", list)
        )
    else:
        targets = (Target(service=require_field(spec, "service", str)),)
    kind = require_field(spec, "kind", str)
    if kind not in KNOWN_KINDS:
        log_unknown_kind(kind)
    return Route(
        name=name,
        host=require_field(spec, "host", str),
        prefix=require_field(spec, "path_prefix", str),
        targets=targets,
        idempotent=kind in IDEMPOTENT_KINDS,
        timeout_ms=parse_duration_ms(spec.get("timeout")),
        objective_ms=parse_duration_ms(spec.get("target_latency")),
        priority=read_whole(spec, "priority"),
        max_attempts=read_whole(spec, "max_attempts"),
        allowed_regions=parse_names(spec, "allowed_regions"),
        public="public" in spec and require_field(spec, "public", bool),
    )


def read_weight(route: str, split: Any) -> float:
    """
    Read the weight of a part of a route.

    :param route: name of the route, for the message
    :param split: fields of the part
    :return: the weight
    :raises DocumentError: if it is not a finite number of at least 0
    """
    weight = require_field(split, "weight", NUMBER)
    if not 0.0 <= weight <= MAX_WEIGHT:
        raise DocumentError(
            f"route {describe(route)}: field 'weight' is {describe(weight)}, expected a"
            f" number from 0 to {MAX_WEIGHT:.0f}"
        )
    return weight


def read_whole(fields: dict[str, Any], name: str) -> int:
    """
    Read a whole number of a configuration.

    :param fields: the decoded object
    :param name: name of the field
    :return: the number
    :raises DocumentError: if it is not a whole number within the range
    """
    return check_whole(name, fields.get(name), -MAX_WHOLE, MAX_WHOLE)


@lru_cache(maxsize=MAX_LOGGED_KINDS)
def log_unknown_kind(kind: str) -> None:
    """
    Log a kind of route that this release does not know, once a process.

    :param kind: the kind; its requests are treated as not idempotent
    """
    log.warning("route_kind_unknown", kind=kind, treated_as="unsafe")


def read_limits(spec: dict[str, Any]) -> CallerLimits:
    """
    Read the limits for requests and connections of callers.

    :param spec: fields of the limits
    :return: the limits
    :raises DocumentError: if a field is missing or has the wrong type
    """
    return CallerLimits(
        head_bytes=read_whole(spec, "max_header_bytes"),
        body_bytes=read_whole(spec, "max_body_bytes"),
        head_timeout_ms=parse_duration_ms(spec.get("header_timeout")),
        idle_timeout_ms=parse_duration_ms(spec.get("idle_timeout")),
    )
