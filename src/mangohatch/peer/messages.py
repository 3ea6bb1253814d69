"""Messages between entry hosts, field by field as in ``peer.thrift``."""

from dataclasses import dataclass, field

__all__ = [
    "Ack",
    "Beacon",
    "ConfigDigest",
    "ConfigItem",
    "ConfigPull",
    "ConfigPush",
    "DirectoryMark",
    "DirectoryPiece",
    "DirectoryPull",
    "EventBatch",
    "EventQuery",
    "LoadReport",
    "LoadSample",
    "Member",
    "MemberDigest",
    "MemberSync",
    "Nack",
    "OrderConfirm",
    "OrderConfirmed",
    "OrderPrepare",
    "OrderVote",
    "Ping",
    "PingRequest",
    "PlacementNotes",
    "QuarantineNotice",
    "SlotGrant",
    "SlotRequest",
    "SlotReturn",
    "SlotUse",
    "StatusQuery",
    "StatusReply",
    "UpstreamNotice",
]


@dataclass(slots=True, kw_only=True)
class Member:
    """
    A member as one host knows it; ``state`` is a MemberState value.

    ``accusers`` are the hosts whose own probes failed, where the state is suspect.
    """

    host_id: str = ""
    incarnation: int = 0
    state: str = ""
    zone: str = ""
    address: str = ""
    peer_port: int = 0
    admin_port: int = 0
    config_revision: int = 0
    accusers: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Ping:
    """Liveness probe that carries membership news."""

    sequence: int = 0
    members: list[Member] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Ack:
    """Answer to a ping, with membership news of its own."""

    sequence: int = 0
    members: list[Member] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PingRequest:
    """Asks a third host to probe the target."""

    sequence: int = 0
    target: str = ""


@dataclass(slots=True, kw_only=True)
class Nack:
    """States that the requested probe got no answer."""

    sequence: int = 0


@dataclass(slots=True, kw_only=True)
class MemberDigest:
    """Hash of the sender's membership table."""

    hash: int = 0


@dataclass(slots=True, kw_only=True)
class MemberSync:
    """The sender's whole membership table."""

    members: list[Member] = field(default_factory=list)
    reply_wanted: bool = False


@dataclass(slots=True, kw_only=True)
class SlotRequest:
    """Asks the broker of a shard for the right to use slots within ``wait_ms``."""

    shard: str = ""
    sequence: int = 0
    count: int = 0
    wait_ms: float = 0.0
    avoid: list[str] = field(default_factory=list)
    isolated: bool = False


@dataclass(slots=True, kw_only=True)
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


@dataclass(slots=True, kw_only=True)
class SlotUse:
    """The end of an attempt, and of its lease when ``freed`` is set."""

    upstream: str = ""
    token: int = 0
    result: str = ""
    latency_ms: float = 0.0
    freed: bool = False
    draining: bool = False


@dataclass(slots=True, kw_only=True)
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


@dataclass(slots=True, kw_only=True)
class UpstreamNotice:
    """An upstream's state as observed by one host, valid for ``ttl_ms``."""

    service_name: str = ""
    upstream: str = ""
    state: str = ""
    ttl_ms: float = 0.0
    cause: str = ""
    revision: int = 0


@dataclass(slots=True, kw_only=True)
class QuarantineNotice:
    """A request whose attempts broke connections to ``upstreams``."""

    service_name: str = ""
    fingerprint: str = ""
    crashes: int = 0
    ttl_ms: float = 0.0
    upstreams: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class ConfigItem:
    """One object of the platform at one revision."""

    kind: str = ""
    name: str = ""
    revision: int = 0
    json: str = ""
    deleted: bool = False


@dataclass(slots=True, kw_only=True)
class ConfigPush:
    """Objects that changed, from the watching host of the given epoch."""

    items: list[ConfigItem] = field(default_factory=list)
    revision: int = 0
    watcher: str = ""
    epoch: int = 0


@dataclass(slots=True, kw_only=True)
class ConfigDigest:
    """Revisions by ``kind/name``, for anti-entropy."""

    revisions: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class ConfigPull:
    """Asks for objects by ``kind/name``."""

    names: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class OrderPrepare:
    """Asks a host whether it can put the object in force."""

    order_id: str = ""
    kind: str = ""
    name: str = ""
    base_revision: int = 0
    json: str = ""


@dataclass(slots=True, kw_only=True)
class OrderVote:
    """
    Answer to a prepare; ``revision`` is the one known to the voter.

    ``code`` is a VoteCode value.
    """

    order_id: str = ""
    accepted: bool = False
    reason: str = ""
    revision: int = 0
    code: str = ""


@dataclass(slots=True, kw_only=True)
class OrderConfirm:
    """Asks a host to confirm that the revision is in force."""

    order_id: str = ""
    kind: str = ""
    name: str = ""
    revision: int = 0


@dataclass(slots=True, kw_only=True)
class OrderConfirmed:
    """States the revision in force for the order."""

    order_id: str = ""
    revision: int = 0


@dataclass(slots=True, kw_only=True)
class EventQuery:
    """Asks for events of the time line."""

    query_id: str = ""
    filter_json: str = ""
    limit: int = 0


@dataclass(slots=True, kw_only=True)
class EventBatch:
    """Events as JSON, oldest first, and the sender's wall clock."""

    query_id: str = ""
    events: list[str] = field(default_factory=list)
    last: bool = False
    wall_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class StatusQuery:
    """Asks for rows of a host's tables."""

    query_id: str = ""
    subject: str = ""
    filter_json: str = ""


@dataclass(slots=True, kw_only=True)
class StatusReply:
    """Rows as JSON, the age of what they state, and whether some were left out."""

    query_id: str = ""
    rows: list[str] = field(default_factory=list)
    age_ms: int = 0
    truncated: bool = False


@dataclass(slots=True, kw_only=True)
class DirectoryMark:
    """
    A part of the directory as a host knows it.

    ``revision`` is the store's at the reading, ``digest`` stands for the content, and
    ``age_ms`` is the time since the reading was true.
    """

    part: str = ""
    revision: int = 0
    digest: int = 0
    age_ms: int = 0


@dataclass(slots=True, kw_only=True)
class Beacon:
    """A host is alive; ``peers`` are addresses of some others."""

    zone: str = ""
    leaving: bool = False
    peers: list[str] = field(default_factory=list)
    marks: list[DirectoryMark] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class DirectoryPull:
    """A request for a part of the directory, all of it."""

    part: str = ""


@dataclass(slots=True, kw_only=True)
class DirectoryPiece:
    """One of ``count`` pieces of a part of the directory, numbered from 0."""

    mark: DirectoryMark = field(default_factory=DirectoryMark)
    number: int = 0
    count: int = 1
    items: list[ConfigItem] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class LoadSample:
    """
    What one upstream said of its load ``age_ms`` before the message was sent.

    ``slowdown_percent`` is 100 where work takes as long as usual.
    """

    upstream: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowdown_percent: int = 100
    age_ms: int = 0
    healthy: bool = True


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Loads of upstreams of one service."""

    service_name: str = ""
    samples: list[LoadSample] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PlacementNotes:
    """
    Requests that the sender placed on upstreams of a service, and those that ended.

    A token names a request of the sender; names and tokens go in pairs.
    """

    service_name: str = ""
    begun_upstreams: list[str] = field(default_factory=list)
    begun_tokens: list[int] = field(default_factory=list)
    ended_upstreams: list[str] = field(default_factory=list)
    ended_tokens: list[int] = field(default_factory=list)
