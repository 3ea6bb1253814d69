"""Messages that distribute the configuration."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["ConfigDigest", "ConfigItem", "ConfigPull", "ConfigPush"]


@message
class ConfigItem:
    """An object of the platform at one revision."""

    kind: str = ""
    name: str = ""
    revision: int = 0
    json: str = ""
    deleted: bool = False


@message
class ConfigPush:
    """Changed objects; ``watcher`` is the host that watches the store in ``epoch``."""

    items: list[ConfigItem] = field(default_factory=list)
    revision: int = 0
    watcher: str = ""
    epoch: int = 0


@message
class ConfigDigest:
    """Object revisions keyed by ``kind/name``, for anti-entropy."""

    revisions: dict[str, int] = field(default_factory=dict)


@message
class ConfigPull:
    """Requests objects by ``kind/name``."""

    names: list[str] = field(default_factory=list)
