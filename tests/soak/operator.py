"""Changes routes and keys, and knows which answers a request may get."""

import random
import time
from dataclasses import dataclass

from standins.host_processes.callers import HOST_NAME, Answer
from standins.host_processes.site import (
    make_account,
    make_configuration,
    make_route,
)
from standins.host_processes.store import FleetStore

__all__ = ["SERVICES", "History", "Operator"]

SERVICES = ("desk", "archive")
FIRST_ROUTES = 20
ADDED_ROUTES = 10
NEWEST = 20
FIRST_KEYS = 6
ACCOUNTS = 3
OK, UNAUTHORIZED, NOT_FOUND = 200, 401, 404


@dataclass(slots=True, kw_only=True)
class History:
    """Services of a route, or accounts of a key, in time; None where there is none."""

    states: list[tuple[float, str | None]]

    def allowed(self, since_s: float, until_s: float) -> set[str | None]:
        """
        Return the states that were in force in a time.

        :param since_s: begin of the time in seconds
        :param until_s: end of the time in seconds
        :return: services or accounts, and None if there was none
        """
        before = [state for at_s, state in self.states if at_s <= since_s][-1:]
        within = [state for at_s, state in self.states if since_s < at_s <= until_s]
        return {*(before or [None]), *within}


class Operator:
    """
    Writes configurations to the store.

    :param store: the store
    :param rng: chooses what to change
    :param accounts: whether requests need keys
    """

    def __init__(
        self, *, store: FleetStore, rng: random.Random, accounts: bool = False
    ) -> None:
        self.changes = 0
        self.histories: dict[str, History] = {}
        self.key_histories: dict[str, History] = {}
        self._keys: dict[str, str] = {}
        self._store = store
        self._rng = rng
        self._routes: dict[str, str] = {}
        for number in range(FIRST_ROUTES):
            self._add(number)
        if accounts:
            for _ in range(FIRST_KEYS):
                self._add_key()
        self._write()

    @property
    def paths(self) -> list[str]:
        """Prefixes of all routes in force, the newest last."""
        return list(self._routes)

    def choose(self) -> str:
        """Choose a route for a request, often one of the newest."""
        paths = list(self.histories)
        return self._rng.choice(paths[-NEWEST:] if self._rng.random() < 0.4 else paths)

    def choose_key(self) -> str:
        """Choose a key for a request, often one of the newest, or a withdrawn one."""
        keys = list(self.key_histories)
        if not keys:
            return ""
        newest = keys[-FIRST_KEYS:]
        return self._rng.choice(newest if self._rng.random() < 0.7 else keys)

    def change(self) -> list[str]:
        """
        Add routes, move one to another service, or remove one.

        Where requests need keys, most versions also withdraw one and add another.

        :return: prefixes of the routes that changed
        """
        self.changes += 1
        if self._keys and self._rng.random() < 0.7:
            del self._keys[self._rng.choice(list(self._keys))]
            self._add_key()
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

    def _add_key(self) -> None:
        number = len(self.key_histories) + len(self._keys)
        key = f"key{number}x{self._rng.randbytes(6).hex()}"
        self._keys[key] = f"a{self._rng.randrange(ACCOUNTS)}"

    def write_again(self) -> None:
        """Write the newest configuration again, which the store may have lost."""
        self._put()

    def _put(self) -> None:
        routes = [
            make_route(path, service, host=HOST_NAME)
            for path, service in self._routes.items()
        ]
        accounts = [
            make_account(
                name, [key for key, owner in self._keys.items() if owner == name]
            )
            for name in sorted(set(self._keys.values()))
        ]
        content = make_configuration(self.changes + 1, routes, SERVICES, accounts)
        self._store.put("config", "main", content)

    def _write(self) -> None:
        self._put()
        now_s = time.monotonic()
        record(self.histories, self._routes, now_s)
        record(self.key_histories, self._keys, now_s)

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
        if answer.status == OK and answer.service not in allowed:
            return f"CONFIG: {path} ran by {answer.service}, it has {allowed}"
        if not answer.key:
            return None
        history = self.key_histories[answer.key]
        owners = history.allowed(answer.sent_s - bound_s, answer.ended_s)
        if answer.status == UNAUTHORIZED and None not in owners:
            return f"CONFIG, DENIED: {answer.key} is rejected, it belongs to {owners}"
        if answer.status == OK and owners == {None}:
            return f"CONFIG: {answer.key} is accepted, it was withdrawn"
        return None


def record(histories: dict[str, History], states: dict[str, str], at_s: float) -> None:
    """
    Add what has changed to histories.

    :param histories: histories by name
    :param states: present states by name
    :param at_s: time of the change in seconds
    """
    for name in {*histories, *states}:
        history = histories.setdefault(name, History(states=[]))
        state = states.get(name)
        if not history.states or history.states[-1][1] != state:
            history.states.append((at_s, state))
