"""Typed failures: every error has a code, and request errors have an outcome."""

from mangohatch.errors.base import ExitCode, MangohatchError
from mangohatch.errors.request import (
    BadRequest,
    DeadlineExceeded,
    NoRoute,
    NoUpstream,
    Outcome,
    Overloaded,
    RequestError,
    RequestQuarantined,
    Stopping,
    UpstreamAborted,
    UpstreamRefused,
    UpstreamUnreachable,
)
from mangohatch.errors.settings import SettingsError

__all__ = [
    "BadRequest",
    "DeadlineExceeded",
    "ExitCode",
    "MangohatchError",
    "NoRoute",
    "NoUpstream",
    "Outcome",
    "Overloaded",
    "RequestError",
    "RequestQuarantined",
    "SettingsError",
    "Stopping",
    "UpstreamAborted",
    "UpstreamRefused",
    "UpstreamUnreachable",
]
