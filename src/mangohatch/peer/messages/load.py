"""Messages about the load of upstreams and the requests placed on them."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["LoadReport", "LoadSample", "PlacementNotes"]


@message
class LoadSample:
    """
    Load that an upstream reported ``age_ms`` before the message was sent.

    ``slowdown_percent`` is 100 if work takes the typical time. ``limit_per_s`` is the
    limit that the upstream named in a response ``limit_age_ms`` ago, negative if that
    response named none. A negative age means that no response is known. ``leaving`` is
    whether the upstream said that it leaves. The upstream remains cold for ``cold_ms``
    from now on, 0 if it is warm, by a statement ``cold_age_ms`` ago; None if the sender
    has no statement, or its service no warm-up rate.
    """

    upstream: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowdown_percent: int = 100
    age_ms: int = 0
    healthy: bool = True
    limit_per_s: float = -1.0
    limit_age_ms: int = -1
    leaving: bool = False
    cold_ms: int | None = None
    cold_age_ms: int | None = None


@message
class LoadReport:
    """
    Load samples of the upstreams of one service.

    With ``relay``, the receiver passes the report on to its part of the users of the
    upstreams.
    """

    service_name: str = ""
    samples: list[LoadSample] = field(default_factory=list)
    relay: bool = False


@message
class PlacementNotes:
    """
    Requests that the sender placed on upstreams of a service, and those that ended.

    A token identifies a request of the sender. Upstream names and tokens at the same
    position of a pair of lists belong together. ``urgency`` states how urgently other
    requests wait at the sender; it is 0 if none waits.
    """

    service_name: str = ""
    begun_upstreams: list[str] = field(default_factory=list)
    begun_tokens: list[int] = field(default_factory=list)
    ended_upstreams: list[str] = field(default_factory=list)
    ended_tokens: list[int] = field(default_factory=list)
    urgency: float = 0.0
