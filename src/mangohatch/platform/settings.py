"""Reads the settings file of the platform."""

import tomllib
from pathlib import Path
from typing import Any

from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.signs.settings import MAX_PAUSE_MS
from mangohatch.errors import SettingsError
from mangohatch.fleet.settings import FleetBounds, FleetSettings
from mangohatch.platform.values import (
    DocumentError,
    parse_address,
    parse_duration_ms,
    require_field,
)

__all__ = ["SETTINGS_VARIABLE", "load_fleet_settings"]

SETTINGS_VARIABLE = "MANGOHATCH_SETTINGS"
METRICS_PORT = 9464  # same as in deploy/system.toml; no field of the settings file


def load_fleet_settings(path: Path) -> FleetSettings:
    """
    Read and validate the settings of this host.

    :param path: the settings file, in TOML
    :return: the validated settings
    :raises SettingsError: if the file can't be read or is invalid; names the file and
        the reason
    """
    try:
        return read_settings(tomllib.loads(path.read_text(encoding="utf-8")))
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
            quota=read_quota(bounds),
        ),
        first_start=fields.get("bootstrap") is True,
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
