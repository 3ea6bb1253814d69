"""Row sources: the tables of one host as rows, by subject."""

from mangohatch.admin.sources.base import RowSource
from mangohatch.admin.sources.config import ConfigSource
from mangohatch.admin.sources.hosts import HostSource
from mangohatch.admin.sources.orders import OrderSource
from mangohatch.admin.sources.quarantine import QuarantineSource
from mangohatch.admin.sources.services import ServiceSource
from mangohatch.admin.sources.upstreams import UpstreamSource

__all__ = [
    "ConfigSource",
    "HostSource",
    "OrderSource",
    "QuarantineSource",
    "RowSource",
    "ServiceSource",
    "UpstreamSource",
]
