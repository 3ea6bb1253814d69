"""A fleet of membership protocols in virtual time, with faults between them."""

import random
from dataclasses import dataclass, field
from typing import Any

from mangohatch.clock import ManualClock
from mangohatch.peer.codec import decode_body, decode_envelope, encode
from mangohatch.peer.membership import Endpoint, Membership, MemberTransport
from mangohatch.timeline.recorder import HybridClock, Recorder

__all__ = ["Network", "Node"]

TICK_MS = 50.0
DELAY_MS = 1.0
WALL_OFFSET_MS = 1_700_000_000_000.0


@dataclass(slots=True, kw_only=True)
class Node:
    """One host of the fleet."""

    membership: Membership
    recorder: Recorder
    endpoint: Endpoint
    running: bool = True
    paused_until_ms: float = 0.0
    inbox: list[tuple[str, Any]] = field(default_factory=list)

    @property
    def host_id(self) -> str:
        return self.membership.own.host_id

    def live(self) -> set[str]:
        return {view.host_id for view in self.membership.views()}


class NodeTransport(MemberTransport):
    """Sends the messages of one node into the network."""

    def __init__(self, *, network: "Network", endpoint: Endpoint) -> None:
        self.network = network
        self.endpoint = endpoint

    def send_to(self, endpoint: Endpoint, message: Any) -> None:
        self.network.carry(self.endpoint, endpoint, message)


class Network:
    """Carries messages between nodes; may lose them or cut nodes off."""

    def __init__(self, *, seed: int, zones: int = 3) -> None:
        self.clock = ManualClock(wall_offset_ms=WALL_OFFSET_MS)
        self.rng = random.Random(seed)
        self.zones = zones
        self.nodes: dict[Endpoint, Node] = {}
        self.loss = 0.0
        self.sides: dict[Endpoint, int] = {}
        self.queue: list[tuple[float, int, Endpoint, str, bytes]] = []
        self.count = 0

    def start(self, host_id: str, *, seeds: int = 2) -> Node:
        self.count += 1
        endpoint = Endpoint("10.0.0.1", self.count)
        recorder = Recorder(host=host_id, zone="z", clock=HybridClock(clock=self.clock))
        membership = Membership(
            host_id=host_id,
            zone=f"zone-{self.count % self.zones}",
            endpoint=endpoint,
            admin_port=0,
            seeds=[one for one, node in self.nodes.items() if node.running][:seeds],
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            transport=NodeTransport(network=self, endpoint=endpoint),
            recorder=recorder,
        )
        node = Node(membership=membership, recorder=recorder, endpoint=endpoint)
        self.nodes[endpoint] = node
        return node

    def start_fleet(self, size: int) -> list[Node]:
        return [self.start(f"entry-{number}") for number in range(size)]

    def carry(self, source: Endpoint, target: Endpoint, message: Any) -> None:
        if self.sides.get(source, 0) != self.sides.get(target, 0):
            return
        if self.rng.random() < self.loss:
            return
        sender = self.nodes[source].host_id
        data = encode(message, sender=sender, incarnation=0, time_ms=0.0, count=0)
        at_ms = self.clock.now_ms() + DELAY_MS * self.rng.uniform(0.5, 2.0)
        self.count += 1
        self.queue.append((at_ms, self.count, target, sender, data))

    def run(self, duration_ms: float) -> None:
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.step()

    def step(self) -> None:
        self.clock.advance(TICK_MS)
        now_ms = self.clock.now_ms()
        for node in list(self.nodes.values()):
            if node.running and now_ms >= node.paused_until_ms:
                for sender, message in node.inbox:
                    node.membership.receive(sender, message)
                node.inbox.clear()
                node.membership.tick()
        while self.queue:
            due, self.queue = sorted(self.queue), []
            for _, _, target, sender, data in due:
                self.deliver(target, sender, decode_body(decode_envelope(data)))

    def deliver(self, target: Endpoint, sender: str, message: Any) -> None:
        node = self.nodes.get(target)
        if node is None or not node.running:
            return
        if self.clock.now_ms() < node.paused_until_ms:
            node.inbox.append((sender, message))
        else:
            node.membership.receive(sender, message)

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.running]
