"""Policy for moving idempotent requests from a slow upstream to another one."""

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
    Limits for moving requests.

    The remaining work of a request is assumed to be at least ``min_remaining_share`` of
    the typical work of its route. A request is moved only when the move is expected to
    save at least ``min_saving_ms``.
    """

    min_remaining_share: float = 0.25
    min_saving_ms: float = 40.0  # a new connection plus the estimation error


class MovePolicy:
    """
    Finds requests that will be late on their upstream but not on another one.

    Designed for shared machines: an upstream that was fast when it was chosen may
    become four times slower shortly afterwards, long before the request is late.

    :param clock: source of time
    :param tables: services and upstreams
    :param estimator: estimates completion times
    :param chooser: estimates completion on the upstreams with a free slot
    :param cfg: limits for moving requests
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
        Return whether a move would make a request meet its objective or deadline.

        :param grant: an attempt of an idempotent request without a response so far
        :return: whether to send the request to another upstream
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
