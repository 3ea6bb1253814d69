"""Messages about permits for upstreams that name a limit, and about retry permits."""

from mangohatch.peer.messages.kinds import message

__all__ = ["PermitGrant", "PermitRequest", "PermitReturn"]


@message
class PermitRequest:
    """
    A host with waiting calls asks the owner of an upstream for permits.

    Without the name of an upstream, it asks the owner of a service for permits to retry
    requests.
    """

    service_name: str = ""
    upstream: str = ""
    count: int = 0


@message
class PermitGrant:
    """
    The owner permits a host to send some requests to an upstream.

    Without the name of an upstream, it permits some retries; no count denies them.
    """

    service_name: str = ""
    upstream: str = ""
    count: int = 0


@message
class PermitReturn:
    """A host returns permits that no call could use."""

    service_name: str = ""
    upstream: str = ""
    count: int = 0
