"""Costs of messages between entry hosts, of the broker and of connections."""

import asyncio
import gc
import random
import socket
import tracemalloc
from abc import abstractmethod
from typing import Any

from bench.slopes.base import Slope
from bench.slopes.cost import cpu_us, memory_bytes
from bench.slopes.state import make_spec
from mangohatch.clock import ManualClock, SystemClock
from mangohatch.config import HostSettings, Listener
from mangohatch.core.health import NoHealth
from mangohatch.core.slots import Broker, SpeedTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import NoTimers
from mangohatch.host import EntryHost
from mangohatch.peer.codec import decode_body, decode_envelope, encode
from mangohatch.peer.membership.table import MemberTable
from mangohatch.peer.messages.config import ConfigItem, ConfigPush
from mangohatch.peer.messages.membership import Member
from mangohatch.peer.messages.slots import SlotGrant, SlotRequest, SlotReturn, SlotUse

__all__ = ["FLEET_SLOPES"]

LOOPBACK = "127.0.0.1"
SIZES = (500, 1_000, 2_000)
UPSTREAMS = 30
SETTLE_MS = 1_000.0


class CodecTime(Slope):
    """Base class: encodes and decodes one message repeatedly."""

    unit = "us"
    sizes = SIZES

    @abstractmethod
    def make_message(self) -> Any:
        """
        Create the message.

        :return: instance of a class of :mod:`mangohatch.peer.messages`
        """

    def measure(self, size: int) -> float:
        message = self.make_message()

        def work() -> None:
            for number in range(size):
                frame = encode(
                    message, sender="entry-1", incarnation=1, time_ms=1.0, count=number
                )
                decode_body(decode_envelope(frame))

        return cpu_us(work)


class MessageTime(CodecTime):
    """Messages that return one slot."""

    name = "small peer message, encoded and decoded"
    per = "message"

    def make_message(self) -> SlotReturn:
        use = SlotUse(upstream="u1", token=1, result="ok", latency_ms=9.5)
        return SlotReturn(shard="tablero-misa", uses=[use])


class PushTime(CodecTime):
    """Configuration pushes of a service with 17 upstreams."""

    name = "configuration push, encoded and decoded"
    per = "push"

    def make_message(self) -> ConfigPush:
        text = make_spec("service", 17).model_dump_json()
        item = ConfigItem(kind="service", name="service", revision=1, json=text)
        return ConfigPush(items=[item], revision=1, watcher="entry-1", epoch=1)


class BrokerTime(Slope):
    """Requests for one slot and its return, at a broker with 30 upstreams."""

    name = "slot request and return at the broker"
    unit = "us"
    per = "request"
    sizes = SIZES

    def measure(self, size: int) -> float:
        clock = ManualClock()
        grants: list[SlotGrant] = []
        broker = make_broker(clock, UPSTREAMS, grants)
        clock.advance(SETTLE_MS)
        slot_request = SlotRequest(shard="service", count=1, wait_ms=15.0)

        def work() -> None:
            for _ in range(size):
                broker.handle_request("entry-2", slot_request)
                grant = grants.pop()
                use = SlotUse(
                    upstream=grant.upstreams[0],
                    token=grant.tokens[0],
                    result="ok",
                    latency_ms=9.5,
                    freed=True,
                )
                broker.handle_return("entry-2", SlotReturn(shard="service", uses=[use]))

        return cpu_us(work)


class BrokerMemory(Slope):
    """Broker state of many upstreams."""

    name = "memory of an upstream at its broker"
    unit = "byte"
    per = "upstream"
    sizes = (16, 32, 64)

    def measure(self, size: int) -> float:
        service = make_spec("service", size)
        tables = Tables()
        tables.apply(service, revision=1)
        clock = ManualClock()

        def build() -> object:
            broker = make_broker(clock, 0, [])
            broker.sync(tables.services["service"])
            return broker

        return memory_bytes(build)


class MemberMemory(Slope):
    """Member table with many members."""

    name = "memory of a peer"
    unit = "byte"
    per = "peer"
    sizes = (50, 100, 400)

    def measure(self, size: int) -> float:
        def build() -> object:
            table = MemberTable()
            for number in range(size):
                member = Member(
                    host_id=f"entry-{number}",
                    incarnation=1,
                    state="alive",
                    zone="puno",
                    address="10.0.0.1",
                    peer_port=7_000,
                )
                table.apply(member, now_ms=0.0)
            return table

        return memory_bytes(build)


class CallerConnectionMemory(Slope):
    """Idle caller connections at one entry host."""

    name = "memory of an idle caller's connection"
    unit = "byte"
    per = "connection"
    sizes = (50, 100, 200)

    def measure(self, size: int) -> float:
        return asyncio.run(measure_connections(size))


async def measure_connections(count: int) -> float:
    """
    Measure the memory of idle connections in an entry host.

    :param count: number of connections
    :return: bytes allocated by Python, without operating system buffers
    """
    cfg = HostSettings(
        host_id="entry-1", zone="puno", region="sur-andino", entry=Listener(port=0)
    )
    host = EntryHost(cfg=cfg, clock=SystemClock())
    await host.start()
    gc.collect()
    tracemalloc.start()
    callers = []
    try:
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(count):
            callers.append(socket.create_connection((LOOPBACK, host.entry.port)))
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        return after - before
    finally:
        tracemalloc.stop()
        for sock in callers:
            sock.close()
        await host.stop()


def make_broker(clock: ManualClock, upstreams: int, grants: list[SlotGrant]) -> Broker:
    """
    Create a broker of one service.

    :param clock: source of time
    :param upstreams: number of upstreams
    :param grants: list to which the broker's grants are appended
    :return: broker of the service's shard
    """
    tables = Tables()
    tables.apply(make_spec("service", upstreams), revision=1)
    broker = Broker(
        shard="service",
        host_id="entry-1",
        clock=clock,
        rng=random.Random(1),
        health=NoHealth(),
        speeds=SpeedTable(clock=clock),
        send=lambda host_id, grant: grants.append(grant),
        zone_of=lambda host_id: "puno",
        timers=NoTimers(),
    )
    broker.sync(tables.services["service"])
    return broker


FLEET_SLOPES = (
    MessageTime(),
    PushTime(),
    BrokerTime(),
    BrokerMemory(),
    MemberMemory(),
    CallerConnectionMemory(),
)
