"""Decides whether a request may be sent to an upstream once more."""

from mangohatch.core.call import Call

__all__ = ["may_send_again"]


def may_send_again(
    call: Call, *, may_have_run: bool, body_kept: bool, now_ms: float
) -> bool:
    """
    Return whether a request may be sent once more, whatever the reason.

    Answers failed, slow and cut attempts alike: retries, moves, hedges and
    continuations of a response all add a run. The retry budget is asked afterwards, so
    that nothing is spent on what is not allowed.

    :param call: the call, with the number of its latest attempt
    :param may_have_run: whether an earlier attempt may have run, or still runs
    :param body_kept: whether the whole body can be sent again
    :param now_ms: monotonic time in milliseconds
    :return: whether another attempt is allowed
    """
    if may_have_run and not call.idempotent:
        return False
    return call.attempt < call.max_attempts and body_kept and now_ms < call.deadline_ms
