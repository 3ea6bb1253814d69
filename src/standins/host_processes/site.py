"""Settings and configurations of a small deployment of host processes."""

import os
from collections.abc import Sequence
from typing import Any

__all__ = [
    "HEALTH_PATH",
    "ZONES",
    "make_address",
    "make_configuration",
    "make_route",
    "make_settings",
]

HEALTH_PATH = "/healthz"
ZONES = ("z0", "z1", "z2")


def make_address(number: int) -> str:
    """
    Make the loopback address of a host, which no other test process uses.

    :param number: number of the host, less than 250
    :return: the IP address
    """
    pid = os.getpid()
    return f"127.{2 + pid // 250 % 250}.{pid % 250}.{1 + number}"


def make_settings(
    *, name: str, number: int, count: int, ports: dict[str, int], store_port: int
) -> str:
    """
    Write the settings of a host.

    :param name: name of the host
    :param number: number of the host
    :param count: number of hosts that start together
    :param ports: ports of callers, readiness and peers
    :param store_port: port of the store on loopback
    :return: content of the settings file
    """
    address = make_address(number)
    seeds = ", ".join(f'"{make_address(item)}:1"' for item in range(min(3, count)))
    zones = "\n".join(f'{zone} = "r0"' for zone in ZONES)
    return f"""
node_name = "{name}"
zone = "{ZONES[number % len(ZONES)]}"
region = "r0"
ip = "{address}"
internal_ports = [{ports["peers"]}, {ports["peers"]}]
seeds = [{seeds}]
bootstrap = {"true" if number < count else "false"}
[zones]
{zones}
[listen]
front = "{address}:{ports["front"]}"
ready = "{address}:{ports["ready"]}"
[bounds]
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_slack = 62
[platform]
address = "127.0.0.1:{store_port}"
"""


def make_route(path: str, service: str, *, host: str) -> dict[str, Any]:
    """
    Make a route.

    :param path: its prefix
    :param service: the service that gets its requests
    :param host: host name of the requests
    :return: the resource in a configuration
    """
    spec = {
        "host": host,
        "path_prefix": path,
        "kind": "safe",
        "timeout": "1000ms",
        "target_latency": "400ms",
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }
    name = path.strip("/")
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def make_account(name: str, keys: Sequence[str]) -> dict[str, Any]:
    """
    Make a client account without limits.

    :param name: its name
    :param keys: its keys
    :return: the resource in a configuration
    """
    spec = {"api_keys": list(keys), "priority": 1}
    return {"type": "tenants", "metadata": {"name": name}, "spec": spec}


def make_configuration(
    version: int,
    routes: Sequence[dict[str, Any]],
    services: Sequence[str],
    accounts: Sequence[dict[str, Any]] = (),
) -> dict[str, Any]:
    """
    Make a configuration.

    :param version: its number
    :param routes: resources of its routes
    :param services: names of its services
    :param accounts: resources of its client accounts; without any, no key is asked for
    :return: content of the object in the store
    """
    spec = {"health_check_path": HEALTH_PATH, "max_connections": 260}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    named = [
        {"type": "services", "metadata": {"name": name}, "spec": spec}
        for name in services
    ]
    limits_entry = {"type": "limits", "metadata": {}, "spec": limits}
    resources = [*routes, *named, limits_entry, *accounts]
    return {"version": f"r{version}", "resources": resources}
