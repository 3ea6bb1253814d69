"""What an upstream says of itself in a response."""

from dataclasses import dataclass

from mangohatch.core.load import UpstreamLoad

__all__ = ["UpstreamStatement"]


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamStatement:
    """
    The fields of one response that concern its upstream and not its request.

    ``in_flight`` and ``load`` are the load that the response reports, None if it
    reports none. ``limit_per_s`` is the limit that it names for the requests of all
    hosts, infinite if it names none and None if it is no evidence. ``leaving`` is
    whether the upstream takes no new work because it is about to end. ``pause_ms`` is
    the time for which it wants nothing from this host. ``replaced`` is whether another
    upstream uses the address. ``accepted`` is whether the upstream took the request.
    ``cold_ms`` is the time for which it remains cold, None if it does not say.
    """

    in_flight: int | None = None
    load: UpstreamLoad | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    pause_ms: float | None = None
    replaced: bool = False
    accepted: bool = True
    cold_ms: float | None = None
