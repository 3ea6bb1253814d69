"""Membership and failure detection for entry hosts: SWIM with Lifeguard."""

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
