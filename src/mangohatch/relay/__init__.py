"""Connections to upstreams through peers, for hosts that are cut off from them."""

from mangohatch.relay.admission import RelayAdmission
from mangohatch.relay.client import RelayClient, RelayFailed
from mangohatch.relay.dialer import RelayDialer
from mangohatch.relay.server import RelayServer
from mangohatch.relay.stream import RelayStream

__all__ = [
    "RelayAdmission",
    "RelayClient",
    "RelayDialer",
    "RelayFailed",
    "RelayServer",
    "RelayStream",
]
