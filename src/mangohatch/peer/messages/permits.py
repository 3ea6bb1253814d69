"""Messages about permits for upstreams that name a limit of requests a second."""

from mangohatch.peer.messages.kinds import message

__all__ = ["PermitGrant", "PermitRequest", "PermitReturn"]


@message
class PermitRequest:
    """A host with waiting calls asks the owner of an upstream for permits."""

    service_name: str = ""
    upstream: str = ""
    count: int = 0


@message
class PermitGrant:
    """The owner permits a host to send some requests to an upstream."""

    service_name: str = ""
    upstream: str = ""
    count: int = 0


@message
class PermitReturn:
    """A host returns permits that no call could use."""

    service_name: str = ""
    upstream: str = ""
    count: int = 0
