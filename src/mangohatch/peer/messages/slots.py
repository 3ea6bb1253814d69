"""Messages about the right to use slots."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["SlotGrant", "SlotRequest", "SlotReturn", "SlotUse"]


@message
class SlotRequest:
    """Asks the broker of a shard for the right to use slots within ``wait_ms``."""

    shard: str = ""
    sequence: int = 0
    count: int = 0
    wait_ms: float = 0.0
    avoid: list[str] = field(default_factory=list)
    isolated: bool = False


@message
class SlotGrant:
    """
    The right to use slots, each to be kept idle for at most ``linger_ms``.

    ``waiting`` counts the slots that are still owed to the receiver; ``recall``
    the idle leases that it has to give back. It gives back those in ``recalled``
    as well, as soon as their attempts end. An isolated grant gives all slots of
    its upstream, for one attempt.
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
    """The end of an attempt, and of its lease when ``freed`` is set."""

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

    ``waiting`` counts the calls that wait at the sender.
    """

    shard: str = ""
    uses: list[SlotUse] = field(default_factory=list)
    held: list[str] = field(default_factory=list)
    held_tokens: list[int] = field(default_factory=list)
    waiting: int = 0
