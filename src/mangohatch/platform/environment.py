"""Settings of a host that the deploy file sets as environment variables."""

from collections.abc import Mapping
from dataclasses import replace

from mangohatch.errors import SettingsError
from mangohatch.fleet.settings import FleetSettings

__all__ = ["CALLER_AGE_VARIABLE", "apply_environment"]

CALLER_AGE_VARIABLE = "MANGOHATCH_ESTIMATE_CALLER_AGE"
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
        cfg, estimates_caller_age=read_switch(environment, CALLER_AGE_VARIABLE)
    )


def read_switch(environment: Mapping[str, str], name: str) -> bool:
    """
    Read a variable that switches something on.

    :param environment: environment variables by name
    :param name: name of the variable
    :return: its value, False if it is not set
    :raises SettingsError: if the value is neither true nor false
    """
    text = environment.get(name, "false")
    if text not in SWITCHES:
        problem = f"{name} is {text!r}, expected 'true' or 'false'"
        raise SettingsError(file="environment", problems=[problem])
    return SWITCHES[text]
