"""Which entry hosts are alive, found out by probing and gossip."""

from mangohatch.peer.membership.service import Membership
from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.table import Endpoint, MemberRow, MemberState
from mangohatch.peer.membership.transport import MemberTransport

__all__ = [
    "Endpoint",
    "MemberRow",
    "MemberState",
    "MemberTransport",
    "Membership",
    "MembershipSettings",
]
