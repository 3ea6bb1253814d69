"""Tests of the peer bus over TCP on the loopback interface."""

import asyncio
import random
import socket

from tornado.netutil import bind_sockets

from mangohatch.clock import SystemClock
from mangohatch.peer.link import LinkSettings
from mangohatch.peer.membership import Endpoint, MembershipSettings
from mangohatch.peer.messages.notices import UpstreamNotice
from mangohatch.peer.messages.slots import SlotGrant, SlotRequest
from mangohatch.peer.tcp import TcpPeerBus
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import HybridClock, Recorder
from tests.functions import function_tests

load_tests = function_tests(__name__)

WAIT_S = 10.0
FAST_MEMBERSHIP = MembershipSettings(join_period_ms=50.0, sync_period_ms=100.0)
FAST_LINKS = LinkSettings(heartbeat_ms=50.0, silent_ms=200.0, backoff_min_ms=10.0)


def bind():
    sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
    return sockets, Endpoint("127.0.0.1", sockets[0].getsockname()[1])


def make_bus(number, bound, seeds):
    sockets, endpoint = bound
    clock = SystemClock()
    host_id = f"entry-{number}"
    recorder = Recorder(host=host_id, zone="puno", clock=HybridClock(clock=clock))
    bus = TcpPeerBus(
        host_id=host_id,
        zone="puno",
        endpoint=endpoint,
        admin_port=0,
        seeds=seeds,
        clock=clock,
        rng=random.Random(number),
        recorder=recorder,
        membership=FAST_MEMBERSHIP,
        links=FAST_LINKS,
        sockets=sockets,
    )
    return bus, recorder


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def start_fleet(size):
    bound = [bind() for _ in range(size)]
    seeds = [endpoint for _, endpoint in bound[:1]]
    fleet = [make_bus(number, one, seeds)[0] for number, one in enumerate(bound)]
    for bus in fleet:
        await bus.start()
    await wait_until(lambda: all(len(bus.members()) == size for bus in fleet))
    return fleet


async def stop_fleet(fleet):
    await asyncio.gather(*(bus.stop() for bus in fleet))


async def test_hosts_join_and_exchange_messages():
    fleet = await start_fleet(3)
    received = []
    fleet[1].subscribe(
        SlotRequest,
        lambda sender, message: fleet[1].send(
            sender, SlotGrant(sequence=message.sequence)
        ),
    )
    fleet[0].subscribe(SlotGrant, lambda sender, message: received.append(message))
    assert fleet[0].send("entry-1", SlotRequest(sequence=42))
    assert not fleet[0].send("entry-9", SlotRequest(sequence=43))
    await wait_until(lambda: received)
    assert received == [SlotGrant(sequence=42)]
    assert fleet[0].counters.messages_sent["SlotRequest"] == 1
    await stop_fleet(fleet)


async def test_broadcast_reaches_everyone_but_the_sender():
    fleet = await start_fleet(3)
    received = []
    for bus in fleet:
        bus.subscribe(
            UpstreamNotice,
            lambda sender, message, bus=bus: received.append((bus.host_id, sender)),
        )
    fleet[0].broadcast(UpstreamNotice(upstream="u1"))
    await wait_until(lambda: len(received) == 2)
    assert sorted(received) == [("entry-1", "entry-0"), ("entry-2", "entry-0")]
    await stop_fleet(fleet)


async def test_stopped_host_is_removed_at_once():
    fleet = await start_fleet(3)
    await fleet[2].stop()
    await wait_until(lambda: all(len(bus.members()) == 2 for bus in fleet[:2]))
    await stop_fleet(fleet[:2])


async def test_failing_handler_does_not_stop_the_next():
    fleet = await start_fleet(2)
    received = []
    fleet[1].subscribe(SlotGrant, lambda sender, message: 1 / 0)
    fleet[1].subscribe(SlotGrant, lambda sender, message: received.append(message))
    fleet[0].send("entry-1", SlotGrant(sequence=1))
    fleet[0].send("entry-1", SlotGrant(sequence=2))
    await wait_until(lambda: len(received) == 2)
    await stop_fleet(fleet)


async def test_silent_link_is_detected_and_reopened():
    received_chunks = []
    connections = []

    async def read_without_reply(reader, writer):
        connections.append(writer)
        while data := await reader.read(4096):
            received_chunks.append(data)
        writer.close()

    server = await asyncio.start_server(read_without_reply, "127.0.0.1", 0)
    seed = Endpoint("127.0.0.1", server.sockets[0].getsockname()[1])
    bus, recorder = make_bus(0, bind(), [seed])
    await bus.start()
    await wait_until(lambda: len(connections) >= 2)
    kinds = {event.kind for event in recorder.events()}
    assert EventKind.CONNECTION_SILENT in kinds
    assert not bus.joined
    await bus.stop()
    server.close()
