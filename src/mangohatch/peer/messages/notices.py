"""Notices of the observations of one host."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["QuarantineNotice", "UpstreamNotice"]


@message
class UpstreamNotice:
    """State of an upstream as observed by one host, valid for ``ttl_ms``."""

    service_name: str = ""
    upstream: str = ""
    state: str = ""
    ttl_ms: float = 0.0
    cause: str = ""
    revision: int = 0


@message
class QuarantineNotice:
    """
    Fingerprint of a request whose attempts broke connections to ``upstreams``.

    ``epoch`` counts how often the request was cleared; a notice with no crashes tells
    that it was. ``trials`` counts the trials since its quarantine.
    """

    service_name: str = ""
    fingerprint: str = ""
    crashes: int = 0
    ttl_ms: float = 0.0
    upstreams: list[str] = field(default_factory=list)
    epoch: int = 0
    trials: int = 0
