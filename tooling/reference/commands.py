"""Generates the reference page of the command line."""

import contextlib
import sys
from collections.abc import Iterator

from mangohatch.commands import app
from tooling.reference.base import Page

__all__ = ["CommandPage"]


class CommandPage(Page):
    """Lists all commands with their parameters."""

    name = "command-line"

    def body(self) -> str:
        with use_program_name(app.name[0]):
            text = app.generate_docs(output_format="markdown", heading_level=1)
        return "\n".join(line.rstrip() for line in text.splitlines())


@contextlib.contextmanager
def use_program_name(name: str) -> Iterator[None]:
    """
    Replace ``sys.argv`` so that usage lines name the program, not this tool.

    :param name: name of the program
    """
    original_argv = sys.argv
    sys.argv = [name]
    try:
        yield
    finally:
        sys.argv = original_argv
