"""Changes routes, and knows which answers a request may get."""

import random
import time
from dataclasses import dataclass

from standins.host_processes.callers import HOST_NAME, Answer
from standins.host_processes.site import make_configuration, make_route
from standins.host_processes.store import FleetStore

__all__ = ["SERVICES", "Operator", "RouteHistory"]

SERVICES = ("desk", "archive")
FIRST_ROUTES = 20
ADDED_ROUTES = 10
NEWEST = 20
NOT_FOUND = 404


@dataclass(slots=True, kw_only=True)
class RouteHistory:
    """Services of a route in time; None where the route does not exist."""

    states: list[tuple[float, str | None]]

    def allowed(self, since_s: float, until_s: float) -> set[str | None]:
        """
        Return the states that were in force in a time.

        :param since_s: begin of the time in seconds
        :param until_s: end of the time in seconds
        :return: services, and None if the route did not exist
        """
        before = [state for at_s, state in self.states if at_s <= since_s][-1:]
        within = [state for at_s, state in self.states if since_s < at_s <= until_s]
        return {*(before or [None]), *within}


class Operator:
    """
    Writes configurations to the store.

    :param store: the store
    :param rng: chooses what to change
    """

    def __init__(self, *, store: FleetStore, rng: random.Random) -> None:
        self.changes = 0
        self.histories: dict[str, RouteHistory] = {}
        self._store = store
        self._rng = rng
        self._routes: dict[str, str] = {}
        for number in range(FIRST_ROUTES):
            self._add(number)
        self._write()

    @property
    def paths(self) -> list[str]:
        """Prefixes of all routes in force, the newest last."""
        return list(self._routes)

    def choose(self) -> str:
        """Choose a route for a request, often one of the newest."""
        paths = list(self.histories)
        return self._rng.choice(paths[-NEWEST:] if self._rng.random() < 0.4 else paths)

    def change(self) -> list[str]:
        """
        Add routes, move one to another service, or remove one.

        :return: prefixes of the routes that changed
        """
        self.changes += 1
        kind = self._rng.random()
        if kind < 0.4:
            first = len(self.histories)
            changed = [self._add(first + number) for number in range(ADDED_ROUTES)]
        else:
            path = self._rng.choice(self.paths)
            changed = [path]
            if kind < 0.8:
                old = SERVICES.index(self._routes[path])
                self._routes[path] = SERVICES[1 - old]
            else:
                del self._routes[path]
        self._write()
        return changed

    def _add(self, number: int) -> str:
        path = f"/r{number}/"
        self._routes[path] = SERVICES[number % len(SERVICES)]
        return path

    def write_again(self) -> None:
        """Write the newest configuration again, which the store may have lost."""
        self._put()

    def _put(self) -> None:
        routes = [
            make_route(path, service, host=HOST_NAME)
            for path, service in self._routes.items()
        ]
        content = make_configuration(self.changes + 1, routes, SERVICES)
        self._store.put("config", "main", content)

    def _write(self) -> None:
        self._put()
        now_s = time.monotonic()
        for path in {*self.histories, *self._routes}:
            history = self.histories.setdefault(path, RouteHistory(states=[]))
            state = self._routes.get(path)
            if not history.states or history.states[-1][1] != state:
                history.states.append((now_s, state))

    def find_fault(self, answer: Answer, bound_s: float) -> str | None:
        """
        Return how an answer follows only from a configuration that is too old.

        :param answer: what a caller got
        :param bound_s: time in which a change has to be in force, in seconds
        :return: the rule and what was seen, None if the answer is allowed
        """
        path = "/".join(answer.path.split("/")[:2]) + "/"
        history = self.histories[path]
        allowed = history.allowed(answer.sent_s - bound_s, answer.ended_s)
        if answer.status == NOT_FOUND and None not in allowed:
            return f"CONFIG, DENIED: {path} is not found, it has {sorted(allowed)}"
        if answer.status == 200 and answer.service not in allowed:
            return f"CONFIG: {path} ran by {answer.service}, it has {allowed}"
        return None
