"""Keeps the limits of requests a second that upstreams name, on all hosts together."""

from mangohatch.core.limits.base import NoSendLimits, SendLimits
from mangohatch.core.limits.broker import PermitBroker
from mangohatch.core.limits.bucket import TokenBucket
from mangohatch.core.limits.cold import ColdBounds, ColdStates
from mangohatch.core.limits.ownership import LimitOwnership
from mangohatch.core.limits.permits import PermitTable

__all__ = [
    "ColdBounds",
    "ColdStates",
    "LimitOwnership",
    "NoSendLimits",
    "PermitBroker",
    "PermitTable",
    "SendLimits",
    "TokenBucket",
]
