"""Messages about permits for upstreams that name a limit, and about retry permits."""

from mangohatch.peer.messages.kinds import message

__all__ = ["PermitGrant", "PermitRequest", "PermitReturn"]


@message
class PermitRequest:
    """
    A host with waiting calls asks the owner of an upstream for permits.

    Without the name of an upstream, it asks the owner of a service for permits to retry
    requests. A request for a cold upstream has a number, which grants repeat.
    """

    service_name: str = ""
    upstream: str = ""
    count: int = 0
    number: int | None = None


@message
class PermitGrant:
    """
    The owner permits a host to send some requests to an upstream.

    Without the name of an upstream, it permits some retries; no count denies them.
    ``number`` is that of the request, None if it had none.
    """

    service_name: str = ""
    upstream: str = ""
    count: int = 0
    number: int | None = None


@message
class PermitReturn:
    """A host returns permits that no call could use."""

    service_name: str = ""
    upstream: str = ""
    count: int = 0
