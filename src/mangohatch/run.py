"""Runs the command line and converts handled errors into exit codes."""

import sys

from mangohatch.errors import MangohatchError

__all__ = ["main"]


def main() -> None:
    """Run the command line; exit with the exit code of the error, if any."""
    from mangohatch.commands import app
    from mangohatch.log import configure_logging

    configure_logging()
    try:
        app()
    except MangohatchError as exc:
        print(f"mangohatch: {exc.code}: {exc}", file=sys.stderr)
        sys.exit(exc.exit_code)
