"""Assembles a fleet host from the components of the platform adapter."""

import random
from collections.abc import Iterable
from functools import lru_cache, partial

import structlog

from mangohatch.clock import SystemClock
from mangohatch.core.admission.caller_age import CallerAgeTable
from mangohatch.directory import DirectoryPart, PartItem
from mangohatch.directory.content import RegisteredUpstream
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.fleet.components import FleetComponents
from mangohatch.fleet.host import FleetHost
from mangohatch.fleet.placement import Placement
from mangohatch.fleet.settings import FleetSettings
from mangohatch.platform.documents import read_configuration
from mangohatch.platform.entries import read_upstream
from mangohatch.platform.protocol import PlatformProtocol
from mangohatch.platform.source import CONFIGURATION, EVACUATIONS, PlatformSource
from mangohatch.platform.statement import read_probe
from mangohatch.platform.store import PlatformStore
from mangohatch.platform.values import DocumentError

__all__ = ["make_host"]

READINESS_PATH = "/mangohatch/readyz"
METRICS_PATH = "/metrics"
STORE_TIMEOUT_MS = 1_000.0  # a slow store takes about 250 ms to respond
MAX_LOGGED_ENTRIES = 1_000

log = structlog.get_logger()


def make_host(*, cfg: FleetSettings, placement: Placement) -> FleetHost:
    """
    Build a host.

    :param cfg: validated settings
    :param placement: placement policy, chooses the upstream of a request
    :return: the host, not yet started
    """
    clock = SystemClock()
    rng = random.Random()
    caller_ages = CallerAgeTable() if cfg.late_requests_yield else None
    store = PlatformStore(address=cfg.store, timeout_ms=STORE_TIMEOUT_MS)
    follow_cold = cfg.bounds.cold is not None
    components = FleetComponents(
        protocol=PlatformProtocol(rng=rng, caller_ages=caller_ages),
        source=PlatformSource(
            store=store,
            clock=clock,
            evacuations=cfg.bounds.evacuate_ms is not None,
            follow_cold=follow_cold,
        ),
        apply_part=partial(apply_part, follow_cold=follow_cold),
        read_probe=partial(read_probe, follow_cold=follow_cold),
        readiness_path=READINESS_PATH,
        metrics_path=METRICS_PATH,
    )
    return FleetHost(
        cfg=cfg, clock=clock, rng=rng, components=components, placement=placement
    )


def apply_part(
    part: DirectoryPart, updater: TableUpdater, *, follow_cold: bool = False
) -> None:
    """
    Apply a changed part of the directory to the tables of this host.

    :param part: the part that changed
    :param updater: applies the decoded content of the part
    :param follow_cold: whether cold upstreams are limited
    """
    if part.name == EVACUATIONS:
        updater.apply_evacuations(
            frozenset(part.items), revision=part.revision, peer=part.peer
        )
        return
    if part.name != CONFIGURATION:
        updater.apply_upstreams(read_upstreams(part.items.values()))
        return
    for item in part.items.values():
        try:
            config = read_configuration(item.json, follow_cold=follow_cold)
        except DocumentError as exc:
            # Keep the active configuration; the operator's next version may be
            # readable.
            log.error(
                "configuration_unreadable", revision=item.revision, cause=str(exc)
            )
            return
        updater.apply_configuration(config, revision=item.revision)


def read_upstreams(items: Iterable[PartItem]) -> list[RegisteredUpstream]:
    """
    Read the entries of upstreams, which a peer of an earlier release may have sent.

    :param items: normalized entries
    :return: the upstreams, without those whose entry can't be read
    """
    upstreams: list[RegisteredUpstream] = []
    for item in items:
        try:
            upstreams.append(read_upstream(item.name, item.json))
        except DocumentError as exc:
            log_unreadable_entry(item, str(exc))
    return upstreams


@lru_cache(maxsize=MAX_LOGGED_ENTRIES)
def log_unreadable_entry(item: PartItem, cause: str) -> None:
    """
    Log an entry that can't be read, once a change of it.

    :param item: the normalized entry
    :param cause: why it can't be read
    """
    log.warning(
        "upstream_entry_unreadable",
        upstream=item.name,
        revision=item.revision,
        cause=cause,
    )
