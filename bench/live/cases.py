"""Cases of the live benchmark."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from standins.caller.plan import PlannedRequest, RequestKind, Stream, make_plan
from standins.sites import Site
from standins.upstream import Behaviour
from standins.upstream.noise import mean_speed

__all__ = ["Case", "Condition", "behaviour_of", "make_case_plan", "rate_per_s"]

NOISE_FACTOR = 3.0
LOOKUP_WORK_MS = 50.0
CONFIRM_WORK_MS = 50.0
LOOKUP_SHARE = 0.8
KEYED_SHARE = 0.5
DEADLINE_MS = 2000.0
LOADS = (0.5, 0.7, 0.85)
DURATION_MS = 6000.0


class Condition(StrEnum):
    """Condition of the upstreams during a case."""

    CALM = "calm"
    NOISY = "noisy"
    SILENT = "silent"
    CRASH = "crash"


@dataclass(slots=True, kw_only=True, frozen=True)
class Case:
    """Combination of site, condition, load and seed."""

    site: Site
    condition: Condition
    load: float
    seed: int

    @property
    def name(self) -> str:
        """Name of the case, the prefix of its request ids."""
        percent = round(self.load * 100)
        return f"{self.site.name}-{self.condition}-{percent}-{self.seed}"


def behaviour_of(condition: Condition) -> Behaviour:
    """
    Create the initial behaviour of all upstreams for a condition.

    :param condition: condition of the upstreams
    :return: behaviour at the start of the case
    """
    if condition is Condition.NOISY:
        return Behaviour(noise_factor=NOISE_FACTOR)
    return Behaviour()


def rate_per_s(case: Case) -> float:
    """
    Compute the arrival rate from the load and the capacity of the upstreams.

    :param case: case to run
    :return: requests per second over all entry hosts
    """
    speed = mean_speed(behaviour_of(case.condition).noise_factor)
    desk = case.site.desk
    capacity = desk.upstreams * desk.slots * speed * 1000 / LOOKUP_WORK_MS
    return capacity * case.load


def make_streams(case: Case) -> Sequence[Stream]:
    """
    Split the load into lookups, keyed and unkeyed confirmations.

    :param case: case to run
    :return: one stream per kind of request
    """
    rate = rate_per_s(case)
    confirms = rate * (1 - LOOKUP_SHARE)
    parts = (
        (RequestKind.LOOKUP, rate * LOOKUP_SHARE, LOOKUP_WORK_MS),
        (RequestKind.KEYED, confirms * KEYED_SHARE, CONFIRM_WORK_MS),
        (RequestKind.UNKEYED, confirms * (1 - KEYED_SHARE), CONFIRM_WORK_MS),
    )
    return [
        Stream(
            service=case.site.desk.name,
            kind=kind,
            per_second=per_second,
            work_ms=work_ms,
            deadline_ms=DEADLINE_MS,
        )
        for kind, per_second, work_ms in parts
    ]


def make_case_plan(case: Case) -> list[PlannedRequest]:
    """
    Plan the arrivals of a case.

    :param case: case to run
    :return: requests in order of arrival
    """
    streams = make_streams(case)
    return make_plan(streams, duration_ms=DURATION_MS, name=case.name, seed=case.seed)
