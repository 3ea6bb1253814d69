"""The command that runs an entry host."""

from pathlib import Path

from mangohatch.config import load_settings

__all__ = ["run"]


def run(settings: Path, /) -> None:
    """
    Run an entry host until SIGTERM.

    On SIGTERM the host reports that it is not ready, takes no new work once the
    platform's balancer has had its time to notice, and ends when the requests in
    flight have ended.

    :param settings: JSON settings file of the host
    """
    from mangohatch.host import run_host

    run_host(load_settings(settings))
