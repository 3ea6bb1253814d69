"""The command-line application."""

from pathlib import Path

from cyclopts import App

from mangohatch import __version__
from mangohatch.config import load_settings
from mangohatch.host import run_host

__all__ = ["app"]

app = App(
    name="mangohatch",
    help="A load balancer for servers whose load shifts in milliseconds.",
    version=__version__,
)


@app.command
def run(settings: Path) -> None:
    """
    Run an entry host until SIGTERM.

    :param settings: JSON settings file of the host
    """
    run_host(load_settings(settings))


@app.command
def check(settings: Path) -> None:
    """
    Check a settings file and say what is wrong with it.

    :param settings: JSON settings file of a host
    """
    cfg = load_settings(settings)
    print(f"{settings}: host {cfg.host_id}, {len(cfg.services)} services, no problem")
