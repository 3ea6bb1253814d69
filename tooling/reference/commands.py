"""The page of the command line."""

from mangohatch.commands import app
from tooling.reference.base import Page

__all__ = ["CommandPage"]


class CommandPage(Page):
    """All commands with their parameters."""

    name = "command-line"

    def body(self) -> str:
        text = app.generate_docs(
            output_format="markdown", heading_level=1, usage_name=app.name[0]
        )
        return "\n".join(line.rstrip() for line in text.splitlines())
