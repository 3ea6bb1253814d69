"""The page of the command line."""

import contextlib
import sys
from collections.abc import Iterator

from mangohatch.commands import app
from tooling.reference.base import Page

__all__ = ["CommandPage"]


class CommandPage(Page):
    """All commands with their parameters."""

    name = "command-line"

    def body(self) -> str:
        with use_program_name(app.name[0]):
            text = app.generate_docs(output_format="markdown", heading_level=1)
        return "\n".join(line.rstrip() for line in text.splitlines())


@contextlib.contextmanager
def use_program_name(name: str) -> Iterator[None]:
    """
    Have usage lines name the program, however this process was started.

    :param name: name of the program
    """
    original_argv = sys.argv
    sys.argv = [name]
    try:
        yield
    finally:
        sys.argv = original_argv
