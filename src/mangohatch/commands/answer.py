"""Output of the answers of entry hosts, and the exit codes for them."""

import sys
from collections.abc import Iterator

from mangohatch.admin.client import render
from mangohatch.admin.reply import Reply, ReplyKind
from mangohatch.errors import ExitCode, MangohatchError
from mangohatch.orders.record import OrderState

__all__ = ["exit_code_of", "print_reply"]


def print_reply(reply: Reply, *, json: bool) -> ExitCode:
    """
    Print an answer; errors go to standard error.

    :param reply: the answer
    :param json: whether to print the answer as JSON, errors included
    :return: the exit code for the answer
    """
    if json:
        print(reply.model_dump_json(exclude_defaults=True))
    elif reply.kind is ReplyKind.ERROR:
        print(render(reply), end="", file=sys.stderr)
    else:
        print(render(reply), end="")
    return exit_code_of(reply)


def exit_code_of(reply: Reply) -> ExitCode:
    """
    Choose the exit code for an answer.

    :param reply: the answer
    :return: the code of the error type, or the code for the state of the order
    """
    if reply.error is not None:
        return exit_code_of_error(reply.error.code)
    if reply.order is None or reply.order.state == OrderState.ACCEPTED:
        return ExitCode.OK
    if reply.order.state == OrderState.REFUSED:
        return exit_code_of_error(reply.order.code, default=ExitCode.REFUSED)
    return ExitCode.FAILURE


def exit_code_of_error(code: str, *, default: ExitCode = ExitCode.FAILURE) -> ExitCode:
    """
    Look up the exit code of an error type.

    :param code: code of the error
    :param default: exit code when this version has no error type with the code, which
        happens when the host runs a newer version
    :return: the exit code
    """
    for error in iterate_errors(MangohatchError):
        if error.code == code:
            return error.exit_code
    return default


def iterate_errors(base: type[MangohatchError]) -> Iterator[type[MangohatchError]]:
    """
    Iterate over an error type and all its subclasses.

    :param base: an error type
    :return: the types, each base before its subclasses
    """
    yield base
    for error in base.__subclasses__():
        yield from iterate_errors(error)
