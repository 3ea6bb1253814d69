"""Decodes documents of the platform's store into the types of this program."""

import json
from functools import lru_cache
from typing import Any

import structlog

from mangohatch.core.accounts import Account
from mangohatch.core.routes import Route, Target
from mangohatch.directory.content import (
    Configuration,
    RegisteredUpstream,
    ServiceOptions,
)
from mangohatch.entry.limits import CallerLimits
from mangohatch.platform.accounts import check_accounts, read_account
from mangohatch.platform.cold import read_cold_ms, read_warm_up
from mangohatch.platform.values import (
    DocumentError,
    parse_address,
    parse_duration_ms,
    parse_names,
    parse_version,
    require_field,
)

__all__ = ["normalize_upstream", "read_configuration", "read_upstream"]

# Route kinds whose requests may run more than once.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
KNOWN_KINDS = IDEMPOTENT_KINDS | {"unsafe", "upload"}
MAX_LOGGED_KINDS = 64
# An entry is up to one heartbeat of 1.5 s old when it is read.
RENEWAL_MS = 2_000.0
DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})
NUMBER = (int, float)

log = structlog.get_logger()


def read_configuration(text: str, *, follow_cold: bool = False) -> Configuration:
    """
    Read the configuration.

    :param text: content of the configuration object, as JSON
    :param follow_cold: whether cold upstreams are limited
    :return: the configuration
    :raises DocumentError: if a field is missing or has the wrong type
    """
    document = json.loads(text)
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
                connections=require_field(spec, "max_connections", int),
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
                weight=require_field(split, "weight", NUMBER),
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
        priority=require_field(spec, "priority", int),
        max_attempts=require_field(spec, "max_attempts", int),
        allowed_regions=parse_names(spec, "allowed_regions"),
        public="public" in spec and require_field(spec, "public", bool),
    )


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
        head_bytes=require_field(spec, "max_header_bytes", int),
        body_bytes=require_field(spec, "max_body_bytes", int),
        head_timeout_ms=parse_duration_ms(spec.get("header_timeout")),
        idle_timeout_ms=parse_duration_ms(spec.get("idle_timeout")),
    )


def normalize_upstream(
    spec: Any,
    *,
    wall_ms: float,
    previous_json: str | None,
    name: str = "",
    follow_cold: bool = False,
) -> str:
    """
    Reduce an upstream's entry to the fields that affect how the upstream is used.

    Heartbeats change an entry about once a second. The result does not change with
    them, so that peers are notified of relevant changes only.

    :param spec: content of the entry
    :param wall_ms: current time of day in milliseconds
    :param previous_json: result for an earlier reading of the entry, None if there is
        none
    :param name: id of the upstream, for the log
    :param follow_cold: whether cold upstreams are limited; an upstream may then become
        cold again, and an invalid time counts as 0
    :return: JSON for :func:`read_upstream`
    :raises DocumentError: if a field is missing or has the wrong type
    """
    info = require_field(spec, "info", dict)
    status = require_field(spec, "status", dict)
    state = require_field(status, "state", str)
    if state not in STATES:
        raise DocumentError(f"state {state!r} is unknown")
    parse_address(spec.get("address"))
    fields = {
        "address": spec["address"],
        "service": require_field(info, "service", str),
        "zone": require_field(info, "zone", str),
        "slots": require_field(info, "slots", int),
        "draining": state == DRAINING,
        "born": spec.get("born", 0),
    }
    # ``cold_remaining`` shrinks with each heartbeat, so the end of the warm-up is
    # computed once per start and then kept. It does not depend on the time of the
    # reading once the upstream is warm, so that all readers get the same content.
    remaining = status.get("cold_remaining", "0ms")
    if follow_cold:
        cold_ms = read_cold_ms(name, "cold_remaining", remaining) or 0.0
    else:
        cold_ms = parse_duration_ms(remaining)
    warm_wall_ms = int(wall_ms + cold_ms) if cold_ms > 0.0 else 0
    previous = json.loads(previous_json) if previous_json else {}
    is_same_start = previous.get("born") == fields["born"]
    known_wall_ms = previous["warm_wall_ms"] if is_same_start else 0
    sequence = status.get("sequence")
    if follow_cold:
        # A later end in another heartbeat is another cold state of the same process.
        is_renewed = (
            sequence != previous.get("cold_sequence")
            and warm_wall_ms > known_wall_ms + RENEWAL_MS
        )
        is_same_start = is_same_start and not is_renewed
        if cold_ms > 0.0:
            fields["cold_sequence"] = sequence
        if is_same_start:
            fields["cold_sequence"] = previous.get("cold_sequence")
    fields["warm_wall_ms"] = known_wall_ms if is_same_start else warm_wall_ms
    return json.dumps(fields, separators=(",", ":"), sort_keys=True)


def read_upstream(name: str, text: str) -> RegisteredUpstream:
    """
    Read an upstream's entry that :func:`normalize_upstream` has written.

    :param name: id of the upstream
    :param text: the normalized entry, as JSON
    :return: the registered upstream
    """
    fields = json.loads(text)
    address, port = parse_address(fields["address"])
    return RegisteredUpstream(
        name=name,
        service=fields["service"],
        address=address,
        port=port,
        zone=fields["zone"],
        slots=fields["slots"],
        draining=fields["draining"],
        started_ms=fields["born"],
        warm_wall_ms=fields["warm_wall_ms"],
    )
