"""Generates the reference page of the errors."""

import importlib
import pkgutil

import mangohatch
from mangohatch.commands.answer import iterate_errors
from mangohatch.errors import ExitCode, MangohatchError, RequestError
from tooling.reference.base import Page, make_table

__all__ = ["ErrorPage", "import_all_modules"]

INTRODUCTION = """
# Errors

Every failure has a code. Callers get it in the header `X-Error-Code`, with the
outcome in `X-Outcome`: `done`, `not_run` or `unknown`. The outcome below is the
usual one of the error; an answer says `unknown` instead of `not_run` when an earlier
attempt may have run.
"""
REQUEST_COLUMNS = ("Code", "Status", "Outcome", "Meaning")
OTHER_COLUMNS = ("Code", "Exit status", "Meaning")


class ErrorPage(Page):
    """Lists all error types by code."""

    name = "errors"

    def body(self) -> str:
        import_all_modules()
        errors = {error.code: error for error in list_error_types()}
        requests = [item for item in errors.values() if issubclass(item, RequestError)]
        others = [item for item in errors.values() if item not in requests]
        return (
            INTRODUCTION
            + "\n## Answers to callers\n\n"
            + make_table(REQUEST_COLUMNS, map(make_request_row, requests))
            + "\n## Other failures\n\n"
            + make_table(OTHER_COLUMNS, map(make_other_row, others))
            + "\n## Exit statuses\n\n"
            + make_table(
                ("Status", "Meaning"),
                ((code.value, code.name.lower()) for code in ExitCode),
            )
        )


def import_all_modules() -> None:
    """Import all modules of mangohatch, so that every error class is defined."""
    for module in pkgutil.walk_packages(mangohatch.__path__, "mangohatch."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def list_error_types() -> list[type[MangohatchError]]:
    """
    List the error types of mangohatch.

    :return: types sorted by code, and for one code derived classes before their bases
    """
    error_types = [
        error
        for error in iterate_errors(MangohatchError)
        if error.__module__.startswith("mangohatch.")
    ]
    error_types.sort(key=lambda error: (error.code, -len(error.__mro__)))
    return error_types


def make_request_row(error: type[RequestError]) -> tuple[object, ...]:
    """
    Make the table row of an error that is returned to callers.

    :param error: type of the error
    :return: cells for ``REQUEST_COLUMNS``
    """
    outcome = f"`{error.default_outcome}`"
    return f"`{error.code}`", error.status, outcome, describe(error)


def make_other_row(error: type[MangohatchError]) -> tuple[object, ...]:
    """
    Make the table row of an error that is not returned to callers.

    :param error: type of the error
    :return: cells for ``OTHER_COLUMNS``
    """
    return f"`{error.code}`", error.exit_code.value, describe(error)


def describe(error: type[MangohatchError]) -> str:
    """
    Return the description of an error type.

    :param error: type of the error
    :return: first paragraph of its docstring, as one line
    """
    paragraph = (error.__doc__ or "").strip().split("\n\n")[0]
    return " ".join(paragraph.split())
