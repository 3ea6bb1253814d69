"""Errors of settings files."""

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = ["SettingsError"]


class SettingsError(MangohatchError):
    """A settings file cannot be read or has invalid values; none of it is used."""

    code = "settings_invalid"
    exit_code = ExitCode.SETTINGS

    def __init__(self, *, file: str, problems: list[str]) -> None:
        self.file = file
        self.problems = problems
        super().__init__(f"{file}: " + "; ".join(problems))
