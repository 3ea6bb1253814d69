"""When an idempotent request should be sent to another upstream instead."""

from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.tables import Tables

__all__ = ["MovePolicy", "MoveSettings"]


@dataclass(slots=True, kw_only=True, frozen=True)
class MoveSettings:
    """
    Bounds of moving.

    A request is taken to have at least ``min_remaining_share`` of its route's work
    before it, and is moved only when that saves ``min_saving_ms``.
    """

    min_remaining_share: float = 0.25
    min_saving_ms: float = 40.0  # a new connection, and the error of the estimates


class MovePolicy:
    """
    Tells which requests an upstream will answer late that another would not.

    Answers the load of shared machines: an upstream that was fast when it was chosen
    may be four times slower a moment later, long before the request is late.

    :param clock: source of time
    :param tables: services and upstreams
    :param estimator: estimates completion
    :param chooser: knows which places are free
    :param cfg: bounds
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        estimator: LoadEstimator,
        chooser: ExpectedTimeChooser,
        cfg: MoveSettings | None = None,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._estimator = estimator
        self._chooser = chooser
        self._cfg = cfg or MoveSettings()

    def should_move(self, grant: Grant) -> bool:
        """
        Tell whether another upstream would answer in time, and this one would not.

        :param grant: an attempt of an idempotent request without an answer yet
        :return: whether to send the request elsewhere
        """
        call = grant.call
        service = self._tables.services.get(call.service)
        if service is None:
            return False
        now_ms = self._clock.now_ms()
        work_ms = self._estimator.work_ms(call.route)
        row = grant.upstream
        done_ms = row.load.progress_ms(grant.granted_ms, now_ms)
        remaining_ms = max(work_ms - done_ms, self._cfg.min_remaining_share * work_ms)
        stay_ms = now_ms + self._estimator.finish_ms(row, remaining_ms, now_ms)
        if stay_ms <= call.objective_ms:
            return False
        move_ms = now_ms + self._chooser.min_completion_ms(service, call, work_ms)
        if move_ms + self._cfg.min_saving_ms > stay_ms:
            return False
        meets_objective = move_ms <= call.objective_ms
        meets_deadline = stay_ms > call.deadline_ms >= move_ms
        return meets_objective or meets_deadline
