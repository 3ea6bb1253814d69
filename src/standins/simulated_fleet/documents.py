"""Documents of the simulated store, and their application to the tables of a host."""

import json
from functools import lru_cache

from mangohatch.core.accounts import Account, digest_key
from mangohatch.core.cold_state import WarmUp
from mangohatch.core.routes import Route, Target
from mangohatch.directory import DirectoryPart
from mangohatch.directory.content import (
    Configuration,
    RegisteredUpstream,
    ServiceOptions,
)
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.entry.limits import CallerLimits
from standins.simulated_fleet.store import EVACUATIONS, UPSTREAMS

__all__ = ["apply_part", "read_configuration", "read_upstream"]


def apply_part(part: DirectoryPart, updater: TableUpdater) -> None:
    """
    Apply a part of the directory to the tables of a host.

    :param part: the part
    :param updater: updates the tables
    """
    if part.name == EVACUATIONS:
        updater.apply_evacuations(
            frozenset(part.items), revision=part.revision, peer=part.peer
        )
        return
    if part.name == UPSTREAMS:
        updater.apply_upstreams(
            [read_upstream(item.json) for item in part.items.values()]
        )
        return
    for item in part.items.values():
        updater.apply_configuration(
            read_configuration(item.json), revision=item.revision
        )


# All hosts decode the same documents.
@lru_cache(maxsize=2_000)
def read_upstream(text: str) -> RegisteredUpstream:
    """
    Decode the entry of an upstream.

    :param text: the entry as JSON
    :return: the entry
    """
    return RegisteredUpstream(**json.loads(text))


@lru_cache(maxsize=20)
def read_configuration(text: str) -> Configuration:
    """
    Decode a configuration.

    :param text: the configuration as JSON
    :return: the configuration
    """
    document = json.loads(text)
    warm_up = WarmUp(**document["warm_up"]) if "warm_up" in document else None
    return Configuration(
        version=document["version"],
        routes=tuple(
            Route(
                name=entry["name"],
                host="site.example",
                prefix=entry["prefix"],
                targets=(Target(service=entry["service"]),),
                idempotent=True,
                timeout_ms=1_500.0,
                objective_ms=400.0,
                priority=1,
                max_attempts=2,
            )
            for entry in document["routes"]
        ),
        services={
            name: ServiceOptions(
                health_path="/healthz", connections=1_000, warm_up=warm_up
            )
            for name in document["services"]
        },
        limits=CallerLimits(),
        accounts=tuple(
            Account(
                name=name,
                key_digests=frozenset({digest_key(name)}),
                priority=priority,
                per_s=per_s,
                burst=burst,
            )
            for name, priority, per_s, burst in document.get("accounts", ())
        ),
    )
