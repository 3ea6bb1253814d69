"""Votes and confirmations of this host for the orders of other hosts."""

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
    """Result of checking an order; ``BEHIND`` is not final."""

    ACCEPTED = "accepted"
    BEHIND = "behind"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Voter:
    """
    Votes on orders and confirms active revisions.

    :param bus: message bus to the other hosts
    :param view: configuration as received and applied by this host
    :param serving: returns whether this host serves requests
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
        Check whether an order could be applied on this host.

        :param order: message that requests the vote
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
        Validate an order against the configuration of this host.

        :param order: message that requests the vote
        :param known: newest revision of the object that this host has received
        :return: code of the vote and its reason; the reason is empty if accepted
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
        Find another active service with the same path prefix.

        :param spec: specification of the changed service
        :return: description of the collision; empty if there is none
        """
        for other in self._view.services():
            if other.name != spec.name and other.path_prefix == spec.path_prefix:
                return f"service {other.name} has path_prefix {spec.path_prefix} too"
        return ""

    def confirm(self, order: OrderConfirm) -> OrderConfirmed:
        """
        Report the active revision of the object that an order changed.

        :param order: message that requests the confirmation
        :return: the confirmation
        """
        revision = self._view.active_revision(order.name)
        return OrderConfirmed(order_id=order.order_id, revision=revision)

    def on_prepare(self, sender: str, order: OrderPrepare) -> None:
        """
        Send a vote to the host that requested it.

        :param sender: id of the host that the order was submitted to
        :param order: message that requests the vote
        """
        self._bus.send(sender, self.vote(order))

    def on_confirm(self, sender: str, order: OrderConfirm) -> None:
        """
        Send a confirmation to the host that requested it.

        :param sender: id of the host that the order was submitted to
        :param order: message that requests the confirmation
        """
        self._bus.send(sender, self.confirm(order))
