"""Callers that return at once after all hosts have lost power, in virtual time."""

from mangohatch.core.admission.caller_age import CallerAgeTable
from standins.simulated_fleet.fleet import FleetPlan, SimulatedFleet
from standins.simulated_fleet.return_traffic import ReturnTraffic
from standins.virtual_loop import VirtualLoop
from tests.functions import function_tests

load_tests = function_tests(__name__)

OBJECTIVE_MS = 313.0
DEADLINE_MS = 3_088.0
REQUESTS_PER_UPSTREAM = 7.5  # of about 11 that an upstream completes a second
UNTIL_RESTART_MS = 400.0  # processes start within 1.0 to 1.3 s after that
SETTLED_MS = 500.0
SPAN_MS = 2_000.0
IN_TIME_FIRST = 0.6
IN_TIME_NEXT = 0.85
SHARE_OF_ORACLE = 0.9


class ExactAges(CallerAgeTable):
    """Knows the age of each request."""

    def estimate_ms(self, route, allowed_ms):
        return DEADLINE_MS - allowed_ms


def play_power_loss(*, hosts, upstreams, make_ages, seed=1):
    plan = FleetPlan(hosts=hosts, upstreams=upstreams, seed=seed, services=("desk",))
    fleet = SimulatedFleet(plan=plan, loop=VirtualLoop())
    fleet.run(6_000.0)
    traffic = ReturnTraffic(
        fleet=fleet,
        requests_per_s=REQUESTS_PER_UPSTREAM * upstreams,
        objective_ms=OBJECTIVE_MS,
        deadline_ms=DEADLINE_MS,
        seed=seed,
    )
    traffic.start()
    fleet.run(1_000.0)
    for host in fleet.running():
        host.kill()
    fleet.run(UNTIL_RESTART_MS)
    fleet.make_caller_ages = make_ages
    fleet.restart_hosts()
    ready = fleet.run_until(fleet.all_ready, limit_ms=3_000.0)
    assert ready is not None
    begin_ms = fleet.clock.now_ms() + SETTLED_MS
    fleet.run(SETTLED_MS + 2 * SPAN_MS)
    traffic.stop()
    fleet.run(DEADLINE_MS)
    return (
        traffic.share_in_time(begin_ms, begin_ms + SPAN_MS),
        traffic.share_in_time(begin_ms + SPAN_MS, begin_ms + 2 * SPAN_MS),
    )


def check_return(*, hosts, upstreams, seed=1):
    first, following = play_power_loss(
        hosts=hosts, upstreams=upstreams, make_ages=CallerAgeTable, seed=seed
    )
    oracle, _ = play_power_loss(
        hosts=hosts, upstreams=upstreams, make_ages=ExactAges, seed=seed
    )
    assert first >= IN_TIME_FIRST, first
    assert following >= IN_TIME_NEXT, following
    assert first >= SHARE_OF_ORACLE * oracle, (first, oracle)


def test_returning_callers_do_not_delay_new_ones_at_3_hosts():
    check_return(hosts=3, upstreams=20)


def test_returning_callers_do_not_delay_new_ones_at_39_hosts():
    check_return(hosts=39, upstreams=49)
