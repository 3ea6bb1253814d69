"""The ``run`` command."""

import signal
from pathlib import Path

from mangohatch.config import load_settings
from mangohatch.held_signals import held

__all__ = ["run"]


def run(settings: Path, /) -> None:
    """
    Run an entry host until SIGTERM.

    On SIGTERM the host reports that it is not ready. After the time that the
    platform's balancer needs to detect this (balancer_delay_ms), it accepts no new
    requests. It exits when the requests in flight have ended.

    :param settings: JSON settings file of the host
    """
    held.hold(signal.SIGTERM)
    from mangohatch.host import run_host

    run_host(load_settings(settings))
