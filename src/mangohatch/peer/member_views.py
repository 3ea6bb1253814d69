"""List of live members, kept between changes, and its log."""

from collections.abc import Sequence
from dataclasses import replace

import structlog

from mangohatch.peer.bus import MemberView
from mangohatch.peer.membership import MemberRow
from mangohatch.peer.membership.views import make_own_view, make_view
from mangohatch.peer.messages.membership import Member

__all__ = ["MemberViews"]

# Incarnations start as wall time, and refuted suspicions add 1 each.
RESTART_STEP_MS = 100

log = structlog.get_logger()


class MemberViews:
    """
    Public views of the live members, this host included.

    A change costs the same in a fleet of any size; the list is sorted when it is read
    after a change. A host that refutes a suspicion keeps its view, so that those who
    rank hosts by the list have nothing to do.
    """

    def __init__(self) -> None:
        self._views: dict[str, MemberView] = {}
        self._sorted: tuple[MemberView, ...] | None = None

    def all(self) -> Sequence[MemberView]:
        """
        List the live members.

        :return: members sorted by host id; the same object while nothing changes
        """
        if self._sorted is None:
            views = sorted(self._views.values(), key=lambda view: view.host_id)
            self._sorted = tuple(views)
        return self._sorted

    def set_own(self, own: Member) -> None:
        """
        Set the view of this host.

        :param own: entry of this host
        """
        self._put(make_own_view(own))

    def update(self, row: MemberRow, previous: MemberRow | None) -> None:
        """
        Take over the change of a member, and log it.

        :param row: row of the member after the change
        :param previous: row before the change; None for a new member
        """
        known = self._views.get(row.host_id)
        if not row.live:
            if known is not None:
                del self._views[row.host_id]
                self._sorted = None
                log.info("peer_silent", peer=row.host_id, state=str(row.state))
            return
        view = make_view(row)
        if known is None:
            event = "peer_found" if previous is None else "peer_returned"
            log.info(event, peer=row.host_id, address=row.endpoint.address)
        elif row.incarnation - known.incarnation >= RESTART_STEP_MS:
            log.info("peer_found", peer=row.host_id, address=row.endpoint.address)
        else:
            view = replace(view, incarnation=known.incarnation)
        self._put(view)

    def _put(self, view: MemberView) -> None:
        if self._views.get(view.host_id) != view:
            self._views[view.host_id] = view
            self._sorted = None
