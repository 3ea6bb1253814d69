"""Messages by which a host reaches an upstream through a peer."""

from mangohatch.peer.messages.kinds import message

__all__ = ["RelayAnswer", "RelayRequest"]


@message
class RelayRequest:
    """
    Asks for a connection to an upstream process, on a stream of its own.

    ``address``, ``port`` and ``started_ms`` identify the process.
    """

    service_name: str = ""
    upstream: str = ""
    address: str = ""
    port: int = 0
    started_ms: float = 0.0


@message
class RelayAnswer:
    """Says why no connection was opened; ``refusal`` is empty if one was."""

    refusal: str = ""
