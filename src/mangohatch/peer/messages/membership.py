"""Messages of the membership protocol."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = [
    "MEMBERSHIP_MESSAGES",
    "Ack",
    "Member",
    "MemberDigest",
    "MemberSync",
    "Nack",
    "Ping",
    "PingRequest",
]


@message
class Member:
    """
    Membership entry of a host, as held by the sender; ``state`` is a MemberState value.

    For a suspect member, ``accusers`` lists the hosts whose own probes of it failed.
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


@message
class Ping:
    """Liveness probe that carries membership updates."""

    sequence: int = 0
    members: list[Member] = field(default_factory=list)


@message
class Ack:
    """Answer to a ping, which carries membership updates of the answering host."""

    sequence: int = 0
    members: list[Member] = field(default_factory=list)


@message
class PingRequest:
    """Asks a third host to probe the target."""

    sequence: int = 0
    target: str = ""


@message
class Nack:
    """Reports that the requested probe got no answer."""

    sequence: int = 0


@message
class MemberDigest:
    """Hash of the sender's membership table, for anti-entropy."""

    hash: int = 0


@message
class MemberSync:
    """Complete membership table of the sender."""

    members: list[Member] = field(default_factory=list)
    reply_wanted: bool = False


MEMBERSHIP_MESSAGES = (Ack, MemberDigest, MemberSync, Nack, Ping, PingRequest)
