"""Commands of the command line."""

from mangohatch.commands.app import app

__all__ = ["app"]
