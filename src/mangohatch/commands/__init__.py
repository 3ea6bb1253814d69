"""Commands of the program."""

from mangohatch.commands.app import app

__all__ = ["app"]
