"""Settings of a host that the deploy file sets as environment variables."""

from collections.abc import Mapping
from dataclasses import replace

from mangohatch.errors import SettingsError
from mangohatch.fleet.settings import FleetSettings

__all__ = ["LATE_REQUESTS_VARIABLE", "apply_environment"]

LATE_REQUESTS_VARIABLE = "MANGOHATCH_LATE_REQUESTS_YIELD"
SWITCHES = {"true": True, "false": False}


def apply_environment(
    cfg: FleetSettings, environment: Mapping[str, str]
) -> FleetSettings:
    """
    Add the settings that are not part of the platform's settings file.

    :param cfg: the settings of the file
    :param environment: environment variables by name
    :return: the settings of the host
    :raises SettingsError: if a value is invalid; names variable, value and expectation
    """
    return replace(
        cfg, late_requests_yield=read_switch(environment, LATE_REQUESTS_VARIABLE)
    )


def read_switch(environment: Mapping[str, str], name: str) -> bool:
    """
    Read a variable that switches something on.

    :param environment: environment variables by name
    :param name: name of the variable
    :return: its value, False if it is not set or empty
    :raises SettingsError: if the value is neither true nor false
    """
    text = environment.get(name) or "false"  # a template leaves it empty
    if text not in SWITCHES:
        problem = f"{name} is {text!r}, expected 'true' or 'false'"
        raise SettingsError(file="environment", problems=[problem])
    return SWITCHES[text]
