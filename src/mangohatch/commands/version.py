"""The ``version`` command."""

from mangohatch import __version__

__all__ = ["version"]


def version() -> None:
    """Print the version of the program."""
    print(__version__)
