"""Messages of membership."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["Ack", "Member", "MemberDigest", "MemberSync", "Nack", "Ping", "PingRequest"]


@message
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


@message
class Ping:
    """Liveness probe that carries membership news."""

    sequence: int = 0
    members: list[Member] = field(default_factory=list)


@message
class Ack:
    """Answer to a ping, with membership news of its own."""

    sequence: int = 0
    members: list[Member] = field(default_factory=list)


@message
class PingRequest:
    """Asks a third host to probe the target."""

    sequence: int = 0
    target: str = ""


@message
class Nack:
    """States that the requested probe got no answer."""

    sequence: int = 0


@message
class MemberDigest:
    """Hash of the sender's membership table."""

    hash: int = 0


@message
class MemberSync:
    """The sender's whole membership table."""

    members: list[Member] = field(default_factory=list)
    reply_wanted: bool = False
