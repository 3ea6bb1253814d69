"""Converts the settings of a host for a review."""

import json
import math

from mangohatch.config.host import HostSettings
from mangohatch.review import DeclaredConfiguration, DeclaredRoute, DeclaredService

__all__ = ["make_declared"]


def make_declared(cfg: HostSettings) -> DeclaredConfiguration:
    """
    Convert validated settings.

    :param cfg: the settings
    :return: a route and a service for each declared service
    """
    config = DeclaredConfiguration(title=f"host {cfg.host_id}")
    for number, spec in enumerate(cfg.services):
        place = f"services[{number}]"
        config.routes.append(
            DeclaredRoute(
                place=place,
                name=spec.name,
                host="",
                prefix=spec.path_prefix.rstrip("/") + "/",
                targets=((spec.name, 1.0),),
                timeout_ms=spec.deadline_ms,
                objective_ms=math.inf,
                max_attempts=None,
            )
        )
        config.services.append(
            DeclaredService(
                place=place,
                name=spec.name,
                connections=min(
                    (upstream.connections for upstream in spec.upstreams), default=1
                ),
                settings=json.dumps(
                    spec.model_dump(mode="json", exclude={"name", "path_prefix"}),
                    sort_keys=True,
                ),
            )
        )
    return config
