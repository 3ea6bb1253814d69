"""Errors of the connection between an operator and an entry host."""

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = ["HostUnanswered"]


class HostUnanswered(MangohatchError):
    """An entry host did not answer a sentence, or its answer could not be read."""

    code = "host_unanswered"
    exit_code = ExitCode.UNREACHABLE
