"""The ``check`` command."""

import importlib
import json
import sys
from dataclasses import asdict
from pathlib import Path

from mangohatch.config import load_settings
from mangohatch.config.declared import make_declared
from mangohatch.errors import SettingsError
from mangohatch.review import (
    DeclaredConfiguration,
    Finding,
    Severity,
    list_changes,
    review,
)

__all__ = ["check"]

STATUS = {Severity.ERROR: 2, Severity.WARNING: 1, Severity.CHANGE: 0}


def check(
    settings: Path,
    /,
    *,
    adapter: str = "",
    in_force: Path | None = None,
    retry_ratio: float | None = None,
    capacity: float | None = None,
    as_json: bool = False,
) -> None:
    """
    Check a configuration before it is submitted, and report errors and warnings.

    The exit status is 0 without a finding, 1 with warnings, and 2 with errors.

    :param settings: JSON settings file of a host, or a configuration of an adapter
    :param adapter: name of the adapter whose format the files have, such as platform
    :param in_force: file with the version in force, to list what changes
    :param retry_ratio: share of requests that may be retried, to check attempts
    :param capacity: requests a second that all services together run, to check quotas
    :param as_json: whether to print the findings as one JSON document
    """
    config = read(settings, adapter)
    config.retry_ratio, config.capacity_per_s = retry_ratio, capacity
    findings = review(config)
    if in_force is not None:
        findings += list_changes(config, read(in_force, adapter))
    if as_json:
        print(json.dumps([asdict(finding) for finding in findings], indent=2))
    else:
        report(settings, findings, config)
    status = max((STATUS[finding.severity] for finding in findings), default=0)
    if status:
        sys.exit(status)


def read(path: Path, adapter: str) -> DeclaredConfiguration:
    """
    Read a configuration.

    :param path: the file
    :param adapter: name of the adapter, empty for settings of a host
    :return: the configuration
    :raises SettingsError: if the file can't be read, or is no valid settings file of a
        host
    """
    if not adapter:
        return make_declared(load_settings(path))
    try:
        module = importlib.import_module(f"mangohatch.{adapter}.declared")
        return module.read_declared(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file=str(path), problems=[str(exc)]) from exc
    except ModuleNotFoundError as exc:
        problem = f"adapter {adapter!r} has no configurations to check"
        raise SettingsError(file=str(path), problems=[problem]) from exc


def report(path: Path, findings: list[Finding], config: DeclaredConfiguration) -> None:
    """
    Print findings, one line each.

    :param path: the file that was checked
    :param findings: the findings
    :param config: the configuration, to say what was checked
    """
    for finding in findings:
        print(f"{path}: {finding}")
    if all(finding.severity is Severity.CHANGE for finding in findings):
        count = len(config.services)
        noun = "service" if count == 1 else "services"
        print(f"{path}: {config.title}, {count} {noun}, no problem")
