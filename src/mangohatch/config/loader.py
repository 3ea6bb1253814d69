"""Loading of settings files."""

from pathlib import Path

from pydantic import ValidationError

from mangohatch.config.host import HostSettings
from mangohatch.errors import SettingsError

__all__ = ["load_settings"]


def load_settings(path: Path) -> HostSettings:
    """
    Read and validate a settings file; an invalid file is rejected as a whole.

    :param path: path of a JSON file
    :return: the validated settings
    :raises SettingsError: with the file, the path of each invalid value and the reason
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file=str(path), problems=[str(exc)]) from exc
    try:
        return HostSettings.model_validate_json(text)
    except ValidationError as exc:
        problems = [format_validation_error(item) for item in exc.errors()]
        raise SettingsError(file=str(path), problems=problems) from exc


def format_validation_error(item: object) -> str:
    """
    Format one validation error as ``path: reason``.

    :param item: an entry of ``ValidationError.errors()``
    :return: the path of the value and the reason, on one line
    """
    assert isinstance(item, dict)
    where = ".".join(str(part) for part in item["loc"]) or "document"
    return f"{where}: {item['msg']}"
