"""The ``check`` command."""

from pathlib import Path

from mangohatch.config import load_settings

__all__ = ["check"]


def check(settings: Path, /) -> None:
    """
    Check a settings file and report its errors.

    :param settings: JSON settings file of a host
    """
    cfg = load_settings(settings)
    count = len(cfg.services)
    noun = "service" if count == 1 else "services"
    print(f"{settings}: host {cfg.host_id}, {count} {noun}, no problem")
