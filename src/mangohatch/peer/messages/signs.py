"""Messages about upstreams that leave or ask for a pause."""

from mangohatch.peer.messages.kinds import message

__all__ = ["LeavingNotice", "PauseNotice"]


@message
class LeavingNotice:
    """
    An upstream process said ``age_ms`` ago that it leaves.

    ``address``, ``port`` and ``started_ms`` identify the process.
    """

    service_name: str = ""
    upstream: str = ""
    address: str = ""
    port: int = 0
    started_ms: float = 0.0
    age_ms: int = 0


@message
class PauseNotice:
    """
    An upstream process turned the sender away and asked it for a pause.

    The pause lasts for another ``rest_ms``. ``address``, ``port`` and ``started_ms``
    identify the process.
    """

    service_name: str = ""
    upstream: str = ""
    address: str = ""
    port: int = 0
    started_ms: float = 0.0
    rest_ms: int = 0
