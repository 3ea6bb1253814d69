"""Leases of upstream slots, granted by one broker per shard of a service."""

from mangohatch.core.slots.broker import Broker
from mangohatch.core.slots.holder import Holder
from mangohatch.core.slots.ledger import Lease, Ledger
from mangohatch.core.slots.shards import ShardMap
from mangohatch.core.slots.speed import SpeedTable

__all__ = ["Broker", "Holder", "Lease", "Ledger", "ShardMap", "SpeedTable"]
