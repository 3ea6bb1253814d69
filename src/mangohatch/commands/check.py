"""The command that checks a settings file."""

from pathlib import Path

from mangohatch.config import load_settings

__all__ = ["check"]


def check(settings: Path, /) -> None:
    """
    Check a settings file and say what is wrong with it.

    :param settings: JSON settings file of a host
    """
    cfg = load_settings(settings)
    count = len(cfg.services)
    noun = "service" if count == 1 else "services"
    print(f"{settings}: host {cfg.host_id}, {count} {noun}, no problem")
