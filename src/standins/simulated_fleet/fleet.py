"""A fleet of simulated hosts with upstreams, requests and a store."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from mangohatch.core.accounts import Account
from mangohatch.core.admission.caller_age import CallerAgeTable
from mangohatch.core.cold_state import WarmUp
from mangohatch.core.limits import ColdBounds
from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.directory.content import RegisteredUpstream
from mangohatch.peer.datagram import PeerAddress
from standins.simulated_fleet.host import SimulatedHost
from standins.simulated_fleet.network import HostLimits, PeerNetwork
from standins.simulated_fleet.store import SimulatedStore
from standins.simulated_fleet.upstreams import SLOTS, SimulatedUpstream
from standins.simulated_fleet.usage import Usage
from standins.virtual_loop import LoopClock, VirtualLoop

__all__ = ["FleetPlan", "SimulatedFleet", "zone_name"]

MS_PER_S = 1000.0
START_MS = 1_000.0
START_SPAN_MS = 300.0  # all hosts start within this time
CHECK_MS = 50.0
RETURN_MS = 3_000.0  # from a crash until a new process has started
LAPSED_MS = 1_000.0
LAPSE_MS = 4_500.0  # three heartbeats of an upstream
MEAN_WORK_MS = 100.0
WORK_SPREAD = 0.3
MAX_PORT = 65_000
ZONES = 4
SEEDS = 2  # live ones; a third one is down
PORT = 8166
DOWN_SEED = ("10.255.0.1", PORT)
SMALL_SERVICE_EVERY = 10  # a tenth of the upstreams serve the second service
SERVICES = ("desk", "library")
CONFIGURATION_BYTES = 4_000


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetPlan:
    """
    Size and surroundings of a fleet.

    ``requests_per_s`` is the rate at each upstream while requests are sent. ``limits``
    hold for each host. With two ``services`` the second has a tenth of the upstreams.
    With ``evacuations``, the hosts follow evacuations of zones.
    Cold upstreams take what ``warm_up`` and ``cold`` allow; they are not limited if
    these are None.
    ``accounts`` are the client accounts, with ``quota`` as the bounds of their quotas.
    """

    hosts: int
    upstreams: int
    seed: int = 1
    requests_per_s: float = 3.0
    loss: float = 0.001
    limits: HostLimits | None = None
    configuration_bytes: int = CONFIGURATION_BYTES
    services: tuple[str, ...] = SERVICES
    evacuations: bool = False
    warm_up: WarmUp | None = None
    cold: ColdBounds | None = None
    accounts: tuple[Account, ...] = ()
    quota: QuotaBounds | None = None


class SimulatedFleet:
    """
    Starts and runs the hosts of a plan in virtual time.

    ``make_caller_ages`` makes what estimates the age of requests, for each new host.

    :param plan: size and surroundings
    :param loop: event loop in virtual time
    """

    def __init__(self, *, plan: FleetPlan, loop: VirtualLoop) -> None:
        self.plan = plan
        self.loop = loop
        self.clock = LoopClock(loop=loop)
        self.hosts: list[SimulatedHost] = []
        self.requests = 0
        self.make_caller_ages: Callable[[], CallerAgeTable | None] = lambda: None
        self._loaded = False
        self._rng = random.Random(f"{plan.seed}/requests")
        self.network = PeerNetwork(
            loop=loop, rng=random.Random(f"{plan.seed}/network"), loss=plan.loss
        )
        self.store = SimulatedStore(
            clock=self.clock, rng=random.Random(f"{plan.seed}/store")
        )
        self.store.warm_up = plan.warm_up
        self.store.accounts = plan.accounts
        self.store.put_configuration(plan.services, plan.configuration_bytes)
        self._upstreams: dict[str, SimulatedUpstream] = {}
        self._entries: dict[str, RegisteredUpstream] = {}
        self.crashed = 0
        self.start_upstreams(plan.upstreams)
        self._start_hosts()

    def start_upstreams(self, count: int) -> None:
        """
        Start upstreams, which register themselves in the store.

        :param count: number of further upstreams
        """
        first = len(self._upstreams)
        for number in range(first, first + count):
            self._add_upstream(number)

    def _add_upstream(self, number: int) -> None:
        name = f"server-{number}"
        rng = random.Random(f"{self.plan.seed}/{name}")
        self._upstreams[name] = SimulatedUpstream(
            name=name,
            clock=self.clock,
            rng=rng,
            loop=self.loop,
            on_crash=lambda upstream: self._replace_crashed(upstream.name, number),
        )
        entry = RegisteredUpstream(
            name=name,
            service=self._service(number),
            address="10.200.0.1",
            port=1 + number % MAX_PORT,
            zone=zone_name(number),
            slots=SLOTS,
            draining=False,
            started_ms=1.0,
            warm_wall_ms=0.0,
        )
        self._entries[name] = entry
        self.store.put_upstream(entry)

    def lapse_entry(self, name: str) -> None:
        """
        Let the entry of an upstream lapse and return, while its process lives.

        :param name: name of the upstream
        """
        self.store.remove_upstream(name)
        entry = self._entries[name]
        self.loop.call_later(LAPSED_MS / MS_PER_S, self.store.put_upstream, entry)

    def start_cold(self, name: str, cold_ms: float) -> None:
        """
        Let an upstream say in its responses and its entry that it is cold.

        :param name: name of the upstream
        :param cold_ms: time for which it remains cold
        """
        until_ms = self.clock.now_ms() + cold_ms
        self._upstreams[name].cold_until_ms = until_ms
        entry = replace(self._entries[name], warm_wall_ms=until_ms)
        self._entries[name] = entry
        self.store.put_upstream(entry)

    def _replace_crashed(self, name: str, number: int) -> None:
        """Start a crashed upstream under a new name; its old entry lapses later."""
        self.crashed += 1
        follower = number + SMALL_SERVICE_EVERY * self.plan.upstreams * self.crashed
        self.loop.call_later(RETURN_MS / MS_PER_S, self._add_upstream, follower)
        self.loop.call_later(LAPSE_MS / MS_PER_S, self.store.remove_upstream, name)

    def _service(self, number: int) -> str:
        return self.plan.services[-1 if number % SMALL_SERVICE_EVERY == 0 else 0]

    def _start_hosts(self) -> None:
        rng = random.Random(f"{self.plan.seed}/starts")
        for number in range(self.plan.hosts):
            delay_ms = START_MS + rng.uniform(0.0, START_SPAN_MS)
            self.loop.call_later(delay_ms / MS_PER_S, self._start_host, number)
        self.run(START_MS + START_SPAN_MS)

    def _start_host(self, number: int) -> None:
        self.loop.context(f"host-{number}").run(self._make_host, number)

    def _make_host(self, number: int) -> None:
        self.hosts.append(
            SimulatedHost(
                host_id=f"host-{number}",
                zone=zone_name(number),
                address=host_address(number),
                seeds=self._seeds(),
                loop=self.loop,
                network=self.network,
                store=self.store,
                upstreams=self._upstreams,
                limits=self.plan.limits,
                rng=random.Random(f"{self.plan.seed}/host-{number}"),
                caller_ages=self.make_caller_ages(),
                evacuations=self.plan.evacuations,
                cold=self.plan.cold,
                quota=self.plan.quota,
            )
        )

    def _seeds(self) -> tuple[PeerAddress, ...]:
        # The settings of a host that is alone name no other.
        if self.plan.hosts == 1 and self.plan.cold is not None:
            return ()
        if self.plan.hosts == 1 and self.plan.quota is not None:
            return (host_address(0),)
        return (*(host_address(seed) for seed in range(SEEDS)), DOWN_SEED)

    def restart_hosts(self) -> None:
        """Start new processes of all hosts of the plan, as after a loss of power."""
        self._start_hosts()

    def all_ready(self) -> bool:
        """
        Return whether all running hosts are ready.

        :return: whether the balancer may send callers to each of them
        """
        return all(host.fleet_host.not_ready() is None for host in self.running())

    def start_host(self) -> None:
        """Start a further host."""
        self._start_host(len(self.hosts))

    def running(self) -> list[SimulatedHost]:
        """
        List the hosts that were not killed.

        :return: the hosts in the order in which they started
        """
        return [host for host in self.hosts if host.running]

    def live_upstreams(self) -> list[SimulatedUpstream]:
        """
        List the upstreams that have not crashed.

        :return: the upstreams in the order in which they started
        """
        return [item for item in self._upstreams.values() if item.alive]

    def run(self, span_ms: float) -> None:
        """
        Run the fleet.

        :param span_ms: virtual time in milliseconds
        """
        self.loop.run_for(span_ms)

    def run_until(
        self, condition: Callable[[], bool], *, limit_ms: float
    ) -> float | None:
        """
        Run the fleet until a condition holds, which is checked every 50 ms.

        :param condition: the condition
        :param limit_ms: maximum virtual time in milliseconds
        :return: virtual time that it took in milliseconds, None if it was too long
        """
        start_ms = self.clock.now_ms()
        while not condition():
            if self.clock.now_ms() - start_ms >= limit_ms:
                return None
            self.run(CHECK_MS)
        return self.clock.now_ms() - start_ms

    def measure(self, span_ms: float) -> dict[str, Usage]:
        """
        Run the fleet and count the datagrams of each running host.

        :param span_ms: virtual time in milliseconds
        :return: counts by host id
        """
        hosts = self.running()
        before = {host.host_id: host.port.usage.copy() for host in hosts}
        self.run(span_ms)
        return {
            host.host_id: host.port.usage.since(before[host.host_id]) for host in hosts
        }

    def start_requests(self) -> None:
        """Send requests to random hosts from now on."""
        self._loaded = True
        self._schedule_request()

    def stop_requests(self) -> None:
        """Send no further requests."""
        self._loaded = False

    def _schedule_request(self) -> None:
        rate_per_s = self.plan.requests_per_s * self.plan.upstreams
        self.loop.call_later(self._rng.expovariate(rate_per_s), self._send_request)

    def _send_request(self) -> None:
        if not self._loaded:
            return
        self.requests += 1
        host = self._rng.choice(self.running())
        service = self._service(self._rng.randrange(SMALL_SERVICE_EVERY))
        work_ms = MEAN_WORK_MS * max(0.1, self._rng.gauss(1.0, WORK_SPREAD))
        host.request(f"r{self.requests}", service, work_ms)
        self._schedule_request()

    def change_configuration(self, size: int | None = None) -> int:
        """
        Write a new version of the configuration to the store.

        :param size: size of the document in bytes; that of the plan if None
        :return: the version
        """
        return self.store.put_configuration(
            self.plan.services, size or self.plan.configuration_bytes
        )

    def hosts_without(self, version: int) -> list[str]:
        """
        List the hosts on which a version of the configuration is not in force yet.

        :param version: the version
        :return: ids of running hosts
        """
        return [
            host.host_id for host in self.running() if version not in host.in_force_ms
        ]

    def members_agree(self) -> bool:
        """
        Return whether each running host lists exactly the running hosts as members.

        :return: whether all lists are right
        """
        running = {host.host_id for host in self.running()}
        return all(host.member_ids() == running for host in self.running())


def zone_name(number: int) -> str:
    """
    Return the availability zone of a host or upstream.

    :param number: its number
    :return: name of the zone
    """
    return f"zone-{number % ZONES}"


def host_address(number: int) -> PeerAddress:
    """
    Return the address of a host for its peers.

    :param number: number of the host
    :return: address and port
    """
    return (f"10.1.{number // 250}.{1 + number % 250}", PORT)
