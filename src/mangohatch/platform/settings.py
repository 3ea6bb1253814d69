"""Reads the settings file of the platform."""

import math
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

from mangohatch.core.limits.cold import ColdBounds
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.signs.settings import MAX_PAUSE_MS
from mangohatch.errors import SettingsError
from mangohatch.fleet.settings import FleetBounds, FleetSettings
from mangohatch.platform.values import (
    DocumentError,
    check_whole,
    parse_address,
    parse_duration_ms,
    require_field,
)

__all__ = ["HEDGE_RATIO_VARIABLE", "SETTINGS_VARIABLE", "load_fleet_settings"]

SETTINGS_VARIABLE = "MANGOHATCH_SETTINGS"
HEDGE_RATIO_VARIABLE = "MANGOHATCH_HEDGE_RATIO"
MAX_DESCRIPTORS = 1 << 30
METRICS_PORT = 9464  # same as in deploy/system.toml; no field of the settings file


def load_fleet_settings(path: Path, *, hedge_ratio: str = "") -> FleetSettings:
    """
    Read and validate the settings of this host.

    :param path: the settings file, in TOML
    :param hedge_ratio: value of ``HEDGE_RATIO_VARIABLE``, which takes precedence over
        the file; empty if it is not set
    :return: the validated settings
    :raises SettingsError: if the file can't be read or is invalid; names the file and
        the reason
    """
    try:
        cfg = read_settings(tomllib.loads(path.read_text(encoding="utf-8")))
        if not hedge_ratio:
            return cfg
        ratio = read_environment_ratio(hedge_ratio)
        return replace(cfg, bounds=replace(cfg.bounds, hedge_ratio=ratio))
    except (OSError, ValueError, DocumentError) as exc:
        raise SettingsError(file=str(path), problems=[str(exc)]) from exc


def read_settings(fields: dict[str, Any]) -> FleetSettings:
    """
    Build the settings from a decoded settings file.

    :param fields: the decoded file; unknown fields are ignored
    :return: the settings
    :raises DocumentError: if a field is missing or has the wrong type
    """
    listen = require_field(fields, "listen", dict)
    bounds = require_field(fields, "bounds", dict)
    ports = require_field(fields, "internal_ports", list)
    address = require_field(fields, "ip", str)
    first_port = ports[0]
    return FleetSettings(
        host_id=require_field(fields, "node_name", str),
        zone=require_field(fields, "zone", str),
        entry=parse_address(listen.get("front")),
        readiness=parse_address(listen.get("ready")),
        peers=(address, first_port),
        metrics=(address, METRICS_PORT),
        # The file lists seeds with another port of the same hosts. The peer port is
        # the same on all hosts, so this host's own peer port replaces it.
        seeds=tuple(
            (parse_address(seed)[0], first_port) for seed in fields.get("seeds") or ()
        ),
        store=parse_address(require_field(fields, "platform", dict).get("address")),
        bounds=FleetBounds(
            grace_ms=parse_duration_ms(bounds.get("grace")),
            retry_ratio=require_field(bounds, "retry_budget_ratio", (int, float)),
            retry_slack=require_field(bounds, "budget_slack", (int, float)),
            retry_window_ms=parse_duration_ms(bounds.get("budget_window")),
            max_pause_ms=read_max_pause_ms(bounds),
            evacuate_ms=read_evacuate_ms(bounds),
            cold=read_cold_bounds(bounds),
            hedge_ratio=read_hedge_ratio(bounds),
            quota=read_quota(bounds),
        ),
        first_start=fields.get("bootstrap") is True,
        regions=read_regions(fields),
        max_descriptors=read_max_descriptors(fields),
    )


def read_max_descriptors(fields: dict[str, Any]) -> int | None:
    """
    Read how many file descriptors this process may have.

    :param fields: the decoded settings file
    :return: the number, None if the platform sets none
    :raises DocumentError: if it is not a whole number
    """
    limits = fields.get("limits") or {}
    value = limits.get("max_fds") if isinstance(limits, dict) else None
    if not value:
        return None
    return check_whole("limits.max_fds", value, 1, MAX_DESCRIPTORS)


def read_cold_bounds(bounds: dict[str, Any]) -> ColdBounds | None:
    """
    Read what cold upstreams may get.

    :param bounds: the decoded table of bounds
    :return: the bounds, None if the deployment does not limit cold upstreams
    :raises DocumentError: if a value is not a number of at least 0
    """
    if "cold_over" not in bounds:
        return None
    values = {"cold_slack": 0.0} | bounds
    for name in ("cold_over", "cold_slack"):
        value = require_field(values, name, (int, float))
        if not 0.0 <= value < math.inf:
            raise DocumentError(
                f"field 'bounds.{name}' is {value!r}, expected a number of at least 0"
            )
    return ColdBounds(
        over=float(values["cold_over"]), slack=float(values["cold_slack"])
    )


def read_quota(bounds: dict[str, Any]) -> QuotaBounds | None:
    """
    Read the bounds of the quotas of client accounts.

    :param bounds: the decoded table of bounds
    :return: the bounds; None unless all of them are set
    :raises DocumentError: if a value is negative or of the wrong type
    """
    if not {"quota_window", "quota_over", "quota_slack"} <= bounds.keys():
        return None
    window_ms = parse_duration_ms(bounds["quota_window"])
    over = require_field(bounds, "quota_over", (int, float))
    slack = require_field(bounds, "quota_slack", (int, float))
    if window_ms <= 0.0 or over < 0.0 or slack < 0.0:
        raise DocumentError(
            f"quota_window, quota_over and quota_slack are {bounds['quota_window']!r},"
            f" {over!r} and {slack!r}, expected a duration above 0 and numbers of 0 or"
            " more"
        )
    return QuotaBounds(window_ms=window_ms, over=over, slack=slack)


def read_max_pause_ms(bounds: dict[str, Any]) -> float:
    """
    Read the longest pause that is obeyed, which the platform need not set.

    :param bounds: the decoded table of bounds
    :return: milliseconds, more than 0
    :raises DocumentError: if the value is not a duration above 0
    """
    text = bounds.get("max_pause")
    if text is None:
        return MAX_PAUSE_MS
    try:
        pause_ms = parse_duration_ms(text)
    except DocumentError:
        pause_ms = 0.0
    if pause_ms <= 0.0:
        raise DocumentError(
            f"field 'bounds.max_pause' is {text!r}, expected a duration above 0 such"
            " as '120s'"
        )
    return pause_ms


def read_evacuate_ms(bounds: dict[str, Any]) -> float | None:
    """
    Read the time within which evacuations of zones have to be in force.

    :param bounds: the decoded table of bounds
    :return: milliseconds, None if the deployment evacuates no zones
    :raises DocumentError: if the value is not a duration above 0
    """
    text = bounds.get("evacuate")
    if text is None:
        return None
    try:
        evacuate_ms = parse_duration_ms(text)
    except DocumentError:
        evacuate_ms = 0.0
    if evacuate_ms <= 0.0:
        raise DocumentError(
            f"field 'bounds.evacuate' is {text!r}, expected a duration above 0 such as"
            " '5000ms'"
        )
    return evacuate_ms


def read_regions(fields: dict[str, Any]) -> dict[str, str]:
    """
    Read the regions of availability zones, which the platform need not set.

    :param fields: the decoded file
    :return: regions by zone, with that of this host
    :raises DocumentError: if a region is not a text
    """
    regions = fields.get("zones", {})
    if not isinstance(regions, dict):
        raise DocumentError(f"field 'zones' is {regions!r}, expected a table")
    for zone, region in regions.items():
        if not isinstance(region, str) or not region:
            raise DocumentError(
                f"field 'zones.{zone}' is {region!r}, expected the name of a region"
            )
    region = fields.get("region")
    if isinstance(region, str) and region:
        regions = {require_field(fields, "zone", str): region} | regions
    return regions


def read_hedge_ratio(bounds: dict[str, Any]) -> float:
    """
    Read the share of the requests that may be hedged, which the platform need not set.

    :param bounds: the decoded table of bounds
    :return: the share, 0 if the field is missing
    :raises DocumentError: if the value is not a number from 0 to 1
    """
    value = bounds.get("hedge_ratio", 0.0)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0.0 <= value <= 1.0:
        raise DocumentError(
            f"field 'bounds.hedge_ratio' is {value!r}, expected a number from 0 to 1"
        )
    return float(value)


def read_environment_ratio(text: str) -> float:
    """
    Read the share of the requests that may be hedged from the environment.

    :param text: value of ``HEDGE_RATIO_VARIABLE``
    :return: the share
    :raises DocumentError: if the value is not a number from 0 to 1
    """
    try:
        ratio = float(text)
    except ValueError:
        ratio = math.nan
    if not 0.0 <= ratio <= 1.0:
        raise DocumentError(
            f"environment variable {HEDGE_RATIO_VARIABLE} is {text!r}, expected a"
            " number from 0 to 1"
        )
    return ratio
