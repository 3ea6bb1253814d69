"""Routes, which map requests to services and set their limits."""

import random
from dataclasses import dataclass

__all__ = ["Route", "RouteTable", "Target"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Target:
    """A service and its weight among the targets of a route."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """
    A route for requests to one host name under one path prefix.

    ``prefix`` begins and ends with a slash. ``timeout_ms`` limits the total time of a
    request at this host. A response that takes longer than ``objective_ms`` is late.
    Only upstreams in ``allowed_regions`` receive requests; None means no restriction.
    Where there are client accounts, only a ``public`` route needs no key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    allowed_regions: frozenset[str] | None = None
    public: bool = False

    def choose(self, rng: random.Random) -> str:
        """
        Choose a service in proportion to the weights.

        :param rng: source of random numbers
        :return: name of the service
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices(self.targets, weights)[0].service


class RouteTable:
    """
    Routes by host name and path prefix.

    ``revision`` is the revision of the active configuration, 0 before the first one.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._order = (0, 0)
        self._by_host: dict[str, dict[str, Route]] = {}

    @property
    def version(self) -> int:
        """Version that the operator gave the active configuration, 0 for none."""
        return self._order[0]

    def apply(
        self, routes: tuple[Route, ...], *, revision: int, version: int = 0
    ) -> bool:
        """
        Replace all routes.

        Of two configurations, the one with the higher version is newer, and of the
        same version the one with the higher revision: a store that came back from an
        older copy gives out revisions again, operators never do so with versions.

        :param routes: the new routes
        :param revision: revision of the configuration in the store, above 0
        :param version: version that the operator gave it, 0 if it has none
        :return: whether the routes were applied, which they are if they are newer
        """
        order = (version, revision)
        if order <= self._order:
            return False
        self._order = order
        by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._by_host = by_host
        self.revision = revision
        return True

    def find(self, host: str, path: str) -> Route | None:
        """
        Find the route with the longest prefix that matches a path.

        :param host: host name without port
        :param path: path without query
        :return: the route, None when no route matches
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
