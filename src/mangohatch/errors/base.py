"""Base class of all errors, and the exit codes of the program."""

from enum import IntEnum
from typing import ClassVar

__all__ = ["ExitCode", "MangohatchError"]


class ExitCode(IntEnum):
    """Exit status of the program for each kind of error."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    SETTINGS = 3
    UNREACHABLE = 4
    REFUSED = 5


class MangohatchError(Exception):
    """
    Base class of all handled errors.

    ``code`` is a stable identifier for programs; the message is meant for people.
    """

    code: ClassVar[str] = "internal"
    exit_code: ClassVar[ExitCode] = ExitCode.FAILURE
