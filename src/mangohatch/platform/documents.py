"""Documents of the platform's store, decoded once into the product's types."""

import json
from typing import Any

from mangohatch.core.routes import Route, Target
from mangohatch.directory.content import (
    Configuration,
    RegisteredUpstream,
    ServiceTerms,
)
from mangohatch.entry.limits import CallerLimits
from mangohatch.platform.values import (
    DocumentError,
    field_of,
    read_address,
    read_time_ms,
    read_version,
)

__all__ = ["read_configuration", "read_upstream", "shorten_upstream"]

# Kinds of route whose requests may run more than once.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})
NUMBER = (int, float)


def read_configuration(text: str) -> Configuration:
    """
    Read the configuration.

    :param text: JSON of the object's content
    :return: the configuration
    :raises DocumentError: when a field is missing or of another type
    """
    document = json.loads(text)
    routes: list[Route] = []
    services: dict[str, ServiceTerms] = {}
    limits = CallerLimits()
    for entry in field_of(document, "resources", list):
        kind = field_of(entry, "type", str)
        spec = field_of(entry, "spec", dict)
        if kind == "routes":
            routes.append(read_route(read_name(entry), spec))
        elif kind == "services":
            services[read_name(entry)] = ServiceTerms(
                health_path=field_of(spec, "health_check_path", str),
                connections=field_of(spec, "max_connections", int),
            )
        elif kind == "limits":
            limits = read_limits(spec)
    return Configuration(
        version=read_version(document.get("version")),
        routes=tuple(routes),
        services=services,
        limits=limits,
    )


def read_name(entry: Any) -> str:
    """
    Read the name of an entry of the configuration.

    :param entry: the entry
    :return: its name
    :raises DocumentError: when it has none
    """
    return field_of(field_of(entry, "metadata", dict), "name", str)


def read_route(name: str, spec: dict[str, Any]) -> Route:
    """
    Read a route.

    :param name: its name
    :param spec: its fields
    :return: the route
    :raises DocumentError: when a field is missing or of another type
    """
    if "traffic_split" in spec:
        targets = tuple(
            Target(
                service=field_of(part, "service", str),
                weight=field_of(part, "weight", NUMBER),
            )
            for part in field_of(spec, "traffic_split", list)
        )
    else:
        targets = (Target(service=field_of(spec, "service", str)),)
    return Route(
        name=name,
        host=field_of(spec, "host", str),
        prefix=field_of(spec, "path_prefix", str),
        targets=targets,
        idempotent=field_of(spec, "kind", str) in IDEMPOTENT_KINDS,
        timeout_ms=read_time_ms(spec.get("timeout")),
        objective_ms=read_time_ms(spec.get("target_latency")),
        priority=field_of(spec, "priority", int),
        max_attempts=field_of(spec, "max_attempts", int),
    )


def read_limits(spec: dict[str, Any]) -> CallerLimits:
    """
    Read the bounds of what callers may send.

    :param spec: their fields
    :return: the bounds
    :raises DocumentError: when a field is missing or of another type
    """
    return CallerLimits(
        head_bytes=field_of(spec, "max_header_bytes", int),
        body_bytes=field_of(spec, "max_body_bytes", int),
        head_timeout_ms=read_time_ms(spec.get("header_timeout")),
        idle_timeout_ms=read_time_ms(spec.get("idle_timeout")),
    )


def shorten_upstream(spec: Any, *, wall_ms: float, known: str | None) -> str:
    """
    Reduce an upstream's entry to what changes its use.

    Heartbeats change an entry about once a second; what is left here stays the same
    over them, so that peers hear of real changes only.

    :param spec: content of the entry
    :param wall_ms: time of day
    :param known: what an earlier reading was reduced to, None without one
    :return: JSON for :func:`read_upstream`
    :raises DocumentError: when a field is missing or of another type
    """
    info = field_of(spec, "info", dict)
    status = field_of(spec, "status", dict)
    state = field_of(status, "state", str)
    if state not in STATES:
        raise DocumentError(f"state {state!r} is unknown")
    read_address(spec.get("address"))
    fields = {
        "address": spec["address"],
        "service": field_of(info, "service", str),
        "zone": field_of(info, "zone", str),
        "slots": field_of(info, "slots", int),
        "draining": state == DRAINING,
        "born": spec.get("born", 0),
    }
    # ``cold_remaining`` shrinks with each heartbeat; the end of the slow time does not.
    cold_ms = read_time_ms(status.get("cold_remaining", "0ms"))
    before = json.loads(known) if known else {}
    same = before.get("born") == fields["born"]
    fields["warm_wall_ms"] = before["warm_wall_ms"] if same else int(wall_ms + cold_ms)
    return json.dumps(fields, separators=(",", ":"), sort_keys=True)


def read_upstream(name: str, text: str) -> RegisteredUpstream:
    """
    Read an upstream's entry as :func:`shorten_upstream` wrote it.

    :param name: id of the upstream
    :param text: the JSON
    :return: the entry
    """
    fields = json.loads(text)
    address, port = read_address(fields["address"])
    return RegisteredUpstream(
        name=name,
        service=fields["service"],
        address=address,
        port=port,
        zone=fields["zone"],
        slots=fields["slots"],
        draining=fields["draining"],
        born_ms=fields["born"],
        warm_wall_ms=fields["warm_wall_ms"],
    )
