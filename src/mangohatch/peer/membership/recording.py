"""Timeline events of membership changes."""

from mangohatch.peer.membership.table import MemberRow, MemberState
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder

__all__ = ["record_member", "record_replaced"]

EVENTS = {
    MemberState.SUSPECT: EventKind.MEMBER_SUSPECTED,
    MemberState.DEAD: EventKind.MEMBER_DEAD,
    MemberState.LEFT: EventKind.MEMBER_LEFT,
}


def record_member(recorder: Recorder, row: MemberRow, *, joined: bool) -> None:
    """
    Record a change of a member.

    :param recorder: recorder of the timeline
    :param row: the member after the change
    :param joined: whether the member was not live before the change
    """
    kind = EventKind.MEMBER_JOINED if joined else EVENTS.get(row.state)
    if kind is None:
        return
    cause = f"{row.host_id} {row.state}"
    if row.accusers:
        cause += f", accused by {','.join(sorted(row.accusers))}"
    recorder.record(kind, cause=cause)


def record_replaced(recorder: Recorder, host_id: str) -> None:
    """
    Record that a newer host has taken the id of this one.

    :param recorder: recorder of the timeline
    :param host_id: id of this host
    """
    cause = f"{host_id} replaced by a newer host"
    recorder.record(EventKind.MEMBER_DEAD, cause=cause)
