"""Composition of lasting state: configuration and claims over the object API."""

import random
from collections import Counter

from mangohatch.claims.store_registry import StoreClaimRegistry
from mangohatch.clock import Clock
from mangohatch.config import HostSettings, Listener
from mangohatch.core.tables import Tables
from mangohatch.peer.bus import PeerBus
from mangohatch.platform.http_store import HttpObjectStore
from mangohatch.platform.metered import CallBudget, MeteredStore
from mangohatch.state.service import StateService
from mangohatch.timeline import Recorder

__all__ = ["LastingState"]

FLUSH_MS = 10_000.0
CONFIG_ROLE = "config"
CLAIMS_ROLE = "claims"


class LastingState:
    """Configuration in force and claims of keyed requests, each with its budget."""

    def __init__(
        self,
        *,
        cfg: HostSettings,
        api: Listener,
        clock: Clock,
        rng: random.Random,
        tables: Tables,
        bus: PeerBus,
        recorder: Recorder,
    ) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self.config_store = MeteredStore(
            store=HttpObjectStore(
                address=api.address,
                port=api.port,
                role=CONFIG_ROLE,
                timeout_ms=cfg.state.store_timeout_ms,
            ),
            role=CONFIG_ROLE,
            budget=CallBudget(per_second=cfg.state.store_calls_per_second, clock=clock),
            calls=self.calls,
        )
        self.claim_store = MeteredStore(
            store=HttpObjectStore(
                address=api.address,
                port=api.port,
                role=CLAIMS_ROLE,
                timeout_ms=cfg.claims.timeout_ms,
            ),
            role=CLAIMS_ROLE,
            budget=CallBudget(per_second=cfg.claims.calls_per_second, clock=clock),
            calls=self.calls,
        )
        self.service = StateService(
            cfg=cfg.state,
            store=self.config_store,
            bus=bus,
            tables=tables,
            clock=clock,
            rng=rng,
            recorder=recorder,
        )
        self.claims = StoreClaimRegistry(
            host_id=cfg.host_id,
            cfg=cfg.claims,
            store=self.claim_store,
            clock=clock,
            rng=rng,
        )

    async def start(self) -> None:
        """Start to learn the configuration and to write results of claims."""
        await self.service.start()
        await self.claims.start()

    async def stop(self) -> None:
        """Write the results that wait, and give up the watch lease."""
        await self.claims.stop(FLUSH_MS)
        await self.service.stop()
