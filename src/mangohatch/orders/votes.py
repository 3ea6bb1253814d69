"""Answers of a host to the orders of others."""

from collections.abc import Callable
from enum import StrEnum

from mangohatch.config import ServiceSpec
from mangohatch.orders.view import ConfigView
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.peer.messages.orders import (
    OrderConfirm,
    OrderConfirmed,
    OrderPrepare,
    OrderVote,
)
from mangohatch.state.items import SERVICE_KIND, ConfigRejected, read_service

__all__ = ["VoteCode", "Voter"]


class VoteCode(StrEnum):
    """Why a host votes as it does."""

    ACCEPTED = "accepted"
    BEHIND = "behind"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Voter:
    """
    Votes on orders and confirms the revision in force.

    :param bus: messages to other hosts
    :param view: configuration of this host
    :param serving: whether this host serves requests
    """

    def __init__(
        self, *, bus: PeerBus, view: ConfigView, serving: Callable[[], bool]
    ) -> None:
        self._bus = bus
        self._view = view
        self._serving = serving
        bus.subscribe(OrderPrepare, self.on_prepare)
        bus.subscribe(OrderConfirm, self.on_confirm)

    def vote(self, order: OrderPrepare) -> OrderVote:
        """
        Check an order as if it were in force here.

        :param order: the order
        :return: the vote
        """
        known = self._view.known_revision(order.name)
        code, reason = self.check(order, known)
        return OrderVote(
            order_id=order.order_id,
            accepted=code is VoteCode.ACCEPTED,
            reason=reason,
            revision=known,
            code=code,
        )

    def check(self, order: OrderPrepare, known: int) -> tuple[VoteCode, str]:
        """
        Judge an order.

        :param order: the order
        :param known: revision of the object that this host knows
        :return: the judgement and its reason
        """
        if order.kind != SERVICE_KIND:
            return VoteCode.INVALID, f"unknown kind {order.kind}"
        try:
            item = ConfigItem(kind=order.kind, name=order.name, json=order.json)
            spec = read_service(item)
        except ConfigRejected as exc:
            return VoteCode.INVALID, str(exc)
        if known > order.base_revision:
            return VoteCode.CONFLICT, f"revision {known} is known here"
        collision = self.find_prefix_collision(spec)
        if collision:
            return VoteCode.INVALID, collision
        if known < order.base_revision and self._serving():
            return VoteCode.BEHIND, f"only revision {known} is known here"
        return VoteCode.ACCEPTED, ""

    def find_prefix_collision(self, spec: ServiceSpec) -> str:
        """
        Find another service that a changed one collides with.

        :param spec: the changed service
        :return: the reason, empty when there is none
        """
        for other in self._view.services():
            if other.name != spec.name and other.path_prefix == spec.path_prefix:
                return f"service {other.name} has path_prefix {spec.path_prefix} too"
        return ""

    def confirm(self, order: OrderConfirm) -> OrderConfirmed:
        """
        State the revision in force.

        :param order: the order
        :return: the statement
        """
        revision = self._view.active_revision(order.name)
        return OrderConfirmed(order_id=order.order_id, revision=revision)

    def on_prepare(self, sender: str, order: OrderPrepare) -> None:
        """
        Send a vote.

        :param sender: the host that took the order
        :param order: the order
        """
        self._bus.send(sender, self.vote(order))

    def on_confirm(self, sender: str, order: OrderConfirm) -> None:
        """
        Send a confirmation.

        :param sender: the host that took the order
        :param order: the order
        """
        self._bus.send(sender, self.confirm(order))
