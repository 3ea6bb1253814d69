"""Messages for leases on slots of upstreams."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["SlotGrant", "SlotRequest", "SlotReturn", "SlotUse"]


@message
class SlotRequest:
    """Requests leases on slots from the broker of a shard, within ``wait_ms``."""

    shard: str = ""
    sequence: int = 0
    count: int = 0
    wait_ms: float = 0.0
    avoid: list[str] = field(default_factory=list)
    isolated: bool = False


@message
class SlotGrant:
    """
    Leases on slots, each of which may stay idle for at most ``linger_ms``.

    ``waiting`` is the number of slots that the broker has yet to grant to the
    receiver. ``recall`` is the number of idle leases that the receiver has to return.
    It also has to return the leases in ``recalled`` as soon as their attempts end.
    An isolated grant covers all slots of its upstream, for one attempt.
    """

    shard: str = ""
    sequence: int = 0
    upstreams: list[str] = field(default_factory=list)
    tokens: list[int] = field(default_factory=list)
    linger_ms: float = 0.0
    waiting: int = 0
    recall: int = 0
    recalled: list[int] = field(default_factory=list)
    isolated: bool = False


@message
class SlotUse:
    """End of an attempt, and of its lease if ``freed`` is set."""

    upstream: str = ""
    token: int = 0
    result: str = ""
    latency_ms: float = 0.0
    freed: bool = False
    draining: bool = False


@message
class SlotReturn:
    """
    Ends of attempts and leases, and the leases that the sender still holds.

    ``waiting`` is the number of calls that wait at the sender.
    """

    shard: str = ""
    uses: list[SlotUse] = field(default_factory=list)
    held: list[str] = field(default_factory=list)
    held_tokens: list[int] = field(default_factory=list)
    waiting: int = 0
