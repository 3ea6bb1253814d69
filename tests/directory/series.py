"""Plays series of changes of a large configuration while hosts are in trouble."""

import asyncio
import random
from dataclasses import dataclass

from standins.virtual_loop import VirtualLoop
from tests.directory.fleet import Followers

__all__ = ["SeriesPlay", "SeriesTrouble", "play_series"]

TICK_MS = 50.0
SETTLE_MS = 2_000.0
DEAF_MS = 700.0
CONFIGURATION = "config"
ROUTES = 400
REWRITTEN_SHARE = 0.1  # routes that change with each version
UPSTREAMS = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class SeriesTrouble:
    """
    Troubles of one play.

    ``ignored`` is the share of the hosts that get no answer from the store. Messages of
    one host are ``late_ms`` late. A share ``deaf`` of the hosts receives nothing for
    700 ms at a time, and everything for twice as long before and after. ``loss`` is
    the share of messages that are lost.
    """

    loss: float = 0.0
    ignored: float = 0.0
    late_ms: float = 0.0
    deaf: float = 0.0


@dataclass(slots=True, kw_only=True)
class SeriesPlay:
    """
    What the hosts lacked, and what it took.

    ``worst_ms`` is the longest time for which a host lacked a change; the host whose
    own messages are late does not count.
    """

    worst_ms: float = 0.0
    store_calls: int = 0
    messages: int = 0
    bytes: int = 0


class ChangingConfiguration:
    """A configuration of many routes, of which a part is rewritten with each change."""

    def __init__(self, *, rng: random.Random, routes: int) -> None:
        self._rng = rng
        self._routes = [self._make_route(number) for number in range(routes)]
        self.changed_ms: list[float] = []

    def _make_route(self, number: int) -> str:
        rng = self._rng
        return (
            f'{{"host":"h{number % 90}.example","prefix":"/{rng.randbytes(5).hex()}/",'
            f'"service":"s{rng.randrange(9)}","timeout":{rng.randrange(9999)},'
            '"retries":2,"kind":"safe"}'
        )

    def change(self, now_ms: float) -> str:
        """Rewrite some routes, and return the next version."""
        count = len(self._routes)
        for number in self._rng.sample(range(count), int(count * REWRITTEN_SHARE)):
            self._routes[number] = self._make_route(number)
        self.changed_ms.append(now_ms)
        return f"{len(self.changed_ms)};[{','.join(self._routes)}]"

    def find_lack_ms(self, text: str, now_ms: float) -> float:
        """Return for how long a host that has ``text`` lacks a change."""
        version = int(text.partition(";")[0])
        if version >= len(self.changed_ms):
            return 0.0
        return now_ms - self.changed_ms[version]


def play_series(
    seed: int,
    *,
    hosts: int,
    trouble: SeriesTrouble,
    interval_ms: float,
    span_ms: float = 8_000.0,
    routes: int = ROUTES,
) -> SeriesPlay:
    """
    Change the configuration at an interval, and measure how long hosts lack a change.

    :param seed: seed of the content, the troubles and the losses
    :param hosts: number of hosts
    :param trouble: what happens meanwhile
    :param interval_ms: time between two changes in milliseconds
    :param span_ms: time of the play in milliseconds
    :param routes: number of routes
    :return: what the hosts lacked
    """
    rng = random.Random(seed)
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = Followers(loop, count=hosts, tick_ms=TICK_MS)
    names = sorted(fleet.followers)
    config = ChangingConfiguration(rng=rng, routes=routes)
    store, network = fleet.store, fleet.network
    network.rng = random.Random(seed)
    store.put(CONFIGURATION, "main", config.change(0.0))
    for number in range(UPSTREAMS):
        store.put("upstreams", f"u{number}", "ready")
    result = SeriesPlay()
    try:
        fleet.run(SETTLE_MS + rng.uniform(0.0, 500.0))
        network.loss = trouble.loss
        store.silent = set(rng.sample(names, int(hosts * trouble.ignored)))
        late = rng.choice(names)
        network.delays_ms = {late: trouble.late_ms}
        calls = store.calls
        sent = sum(network.messages_sent.values())
        sent_bytes = sum(network.bytes_sent.values())
        begin_ms = fleet.clock.now_ms()
        next_change_ms = next_deaf_ms = begin_ms
        rested: set[str] = set()
        while (now_ms := fleet.clock.now_ms()) < begin_ms + span_ms:
            if now_ms >= next_change_ms:
                next_change_ms += interval_ms
                store.put(CONFIGURATION, "main", config.change(now_ms))
                changed = f"u{rng.randrange(UPSTREAMS)}"
                store.put("upstreams", changed, f"changed {now_ms}")
            if trouble.deaf and now_ms >= next_deaf_ms:
                next_deaf_ms += DEAF_MS
                recently = network.receiving_nothing | rested
                rested = set(network.receiving_nothing)
                able = [name for name in names if name not in recently]
                deaf = rng.sample(able, max(1, int(hosts * trouble.deaf)))
                network.receiving_nothing = set(deaf)
            fleet.run(TICK_MS)
            copies = fleet.copies(CONFIGURATION, "main")
            if trouble.late_ms:
                del copies[late]
            now_ms = fleet.clock.now_ms()
            lacks_ms = (config.find_lack_ms(text, now_ms) for text in copies.values())
            result.worst_ms = max(result.worst_ms, *lacks_ms)
        result.store_calls = store.calls - calls
        result.messages = sum(network.messages_sent.values()) - sent
        result.bytes = sum(network.bytes_sent.values()) - sent_bytes
    finally:
        fleet.stop()
        loop.close()
    return result
