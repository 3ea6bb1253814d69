"""Parameters and results of runs under noisy neighbours."""

from dataclasses import dataclass, field

__all__ = ["NoisyPlan", "NoisyResult"]


@dataclass(slots=True, kw_only=True, frozen=True)
class NoisyPlan:
    """
    Parameters of a run.

    ``per_s`` counts requests of all hosts; ``sigma`` is the spread of the logarithm of
    their work, ``ratio`` the share that may be hedged, ``after`` the quantile of recent
    durations after which to hedge, 0 to hedge by load reports.
    """

    seed: int = 1
    hosts: int = 5
    upstreams: int = 20
    per_s: float = 71.0
    mean_work_ms: float = 101.0
    sigma: float = 0.4
    objective_ms: float = 313.0
    deadline_ms: float = 3_088.0
    duration_ms: float = 40_000.0
    ratio: float = 0.0
    moves: bool = True
    after: float = 0.0
    unsafe_share: float = 0.0
    spread: float = 0.0


@dataclass(slots=True, kw_only=True)
class NoisyResult:
    """
    Results of a run, over the requests after the warm-up.

    ``work`` is that of the upstreams per unit of work asked for. ``sent_ms`` lists when
    hedges were sent and by which host, and ``arrived_ms`` the requests that may be
    repeated.
    """

    p50_ms: float
    p99_ms: float
    answered: int
    requests: int
    work: float
    hedges: int
    won: int
    moves: int
    refused: dict[str, int]
    sent_ms: list[tuple[float, int]] = field(repr=False)
    arrived_ms: list[tuple[float, int]] = field(repr=False)
