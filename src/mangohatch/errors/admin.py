"""Failures of the connection between an operator and an entry host."""

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = ["HostUnanswered"]


class HostUnanswered(MangohatchError):
    """An entry host gave no usable answer to a sentence."""

    code = "host_unanswered"
    exit_code = ExitCode.UNREACHABLE
