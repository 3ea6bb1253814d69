"""In-memory network between hosts with explicit delivery of messages."""

from mangohatch.peer.bus import MemberView, PeerBus
from tests.functions import fixture

__all__ = ["ManualNetwork", "ManualPeerBus"]


class ManualNetwork:
    """Queues messages between hosts until the test calls ``deliver``."""

    def __init__(self):
        self.buses = {}
        self.queue = []
        self.disconnected_hosts = set()

    def deliver(self):
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            if (
                receiver not in self.disconnected_hosts
                and sender not in self.disconnected_hosts
            ):
                self.buses[receiver].handlers[type(message)](sender, message)


class ManualPeerBus(PeerBus):
    """Connects one host to the network."""

    def __init__(self, *, network, name):
        self._network = network
        self._name = name
        self.handlers = {}
        network.buses[name] = self

    @property
    def host_id(self):
        return self._name

    def members(self):
        return [
            MemberView(host_id=name, incarnation=1, zone="puno")
            for name in sorted(self._network.buses)
        ]

    def send(self, host_id, message):
        self._network.queue.append((self._name, host_id, message))
        return True

    def broadcast(self, message):
        for member in self.members():
            if member.host_id != self._name:
                self.send(member.host_id, message)

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler


@fixture
def network():
    return ManualNetwork()
