"""Collects votes before an order is written and confirmations after it."""

from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.errors import (
    OrderConflict,
    OrderError,
    OrderInvalid,
    OrderVotedDown,
    OrderVotesMissing,
)
from mangohatch.orders.record import OrderRecord
from mangohatch.orders.required import RequiredHosts
from mangohatch.orders.votes import VoteCode, Voter
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.exchange import Exchange
from mangohatch.peer.messages.orders import (
    OrderConfirm,
    OrderConfirmed,
    OrderPrepare,
    OrderVote,
)

__all__ = ["VoteCollector"]

VOTE_TIMEOUT_MS = 2000.0
RESEND_INTERVAL_MS = 250.0
CONFIRM_ROUND_MS = 500.0

REFUSAL_ERRORS: dict[VoteCode, type[OrderError]] = {
    VoteCode.CONFLICT: OrderConflict,
    VoteCode.INVALID: OrderVotedDown,
}


class VoteCollector:
    """
    Collects votes and confirmations from the required hosts.

    :param bus: message bus to the other hosts
    :param clock: clock of this host
    :param voter: votes and confirms on behalf of this host
    :param hosts: the hosts that must vote and confirm
    """

    def __init__(
        self, *, bus: PeerBus, clock: Clock, voter: Voter, hosts: RequiredHosts
    ) -> None:
        self._bus = bus
        self._clock = clock
        self._voter = voter
        self._hosts = hosts
        self._votes: dict[str, Exchange[OrderVote]] = {}
        self._confirmations: dict[str, Exchange[OrderConfirmed]] = {}
        bus.subscribe(OrderVote, self.on_vote)
        bus.subscribe(OrderConfirmed, self.on_confirmed)

    async def prepare(self, order: OrderPrepare) -> None:
        """
        Collect a vote on an order from every required host.

        :param order: message that requests votes on the order
        :raises OrderError: if a host refuses or does not vote in time
        """
        own = self._voter.vote(order)
        if own.code in REFUSAL_ERRORS:
            raise make_refusal_error(self._bus.host_id, own)
        await self._hosts.refresh()
        exchange: Exchange[OrderVote] = Exchange(
            bus=self._bus, clock=self._clock, message=order
        )
        exchange.add_answer(self._bus.host_id, own)
        self._votes[order.order_id] = exchange
        try:
            missing = await exchange.run(
                wanted=lambda: (
                    frozenset() if find_refusal(exchange) else self._hosts.required()
                ),
                final=lambda vote: vote.code != VoteCode.BEHIND,
                wait_ms=VOTE_TIMEOUT_MS,
                resend_ms=RESEND_INTERVAL_MS,
            )
        finally:
            del self._votes[order.order_id]
        refusal = find_refusal(exchange)
        if refusal is not None:
            raise refusal
        if missing:
            raise make_missing_votes_error(sorted(missing), exchange)

    async def confirm(
        self, record: OrderRecord, *, proceed: Callable[[], bool]
    ) -> bool:
        """
        Wait until the revision of an order is active on every required host.

        Each round updates the record's list of hosts that have not confirmed.

        :param record: record of the written order
        :param proceed: called before each round; False ends the wait
        :return: whether the revision is active on every required host
        """
        message = OrderConfirm(
            order_id=record.order_id,
            kind="service",
            name=record.service,
            revision=record.revision,
        )
        exchange: Exchange[OrderConfirmed] = Exchange(
            bus=self._bus, clock=self._clock, message=message
        )
        self._confirmations[record.order_id] = exchange
        try:
            while proceed():
                await self._hosts.refresh()
                exchange.add_answer(self._bus.host_id, self._voter.confirm(message))
                missing = await exchange.run(
                    wanted=self._hosts.required,
                    final=lambda confirmed: confirmed.revision >= record.revision,
                    wait_ms=CONFIRM_ROUND_MS,
                    resend_ms=RESEND_INTERVAL_MS,
                )
                record.waiting_for = tuple(sorted(missing))
                if not missing:
                    return True
            return False
        finally:
            del self._confirmations[record.order_id]

    def on_vote(self, sender: str, vote: OrderVote) -> None:
        """
        Receive a vote; a vote on an order that is no longer open is dropped.

        :param sender: id of the host that voted
        :param vote: the vote
        """
        exchange = self._votes.get(vote.order_id)
        if exchange is not None:
            exchange.add_answer(sender, vote)

    def on_confirmed(self, sender: str, confirmed: OrderConfirmed) -> None:
        """
        Receive a confirmation; it is dropped if the order is no longer open.

        :param sender: id of the host that confirmed
        :param confirmed: the revision that is active on that host
        """
        exchange = self._confirmations.get(confirmed.order_id)
        if exchange is not None:
            exchange.add_answer(sender, confirmed)


def find_refusal(exchange: Exchange[OrderVote]) -> OrderError | None:
    """
    Find a vote that refuses the order.

    :param exchange: votes by host
    :return: error for the refusal with the lowest host id; None if no host refuses
    """
    for host_id, vote in sorted(exchange.answers.items()):
        if vote.code in REFUSAL_ERRORS:
            return make_refusal_error(host_id, vote)
    return None


def make_refusal_error(host_id: str, vote: OrderVote) -> OrderError:
    """
    Build the error for a vote that refuses an order.

    :param host_id: id of the host that voted
    :param vote: the vote
    :return: the error
    """
    error_type = REFUSAL_ERRORS.get(VoteCode(vote.code), OrderInvalid)
    return error_type(f"host {host_id}: {vote.reason}")


def make_missing_votes_error(
    hosts: list[str], exchange: Exchange[OrderVote]
) -> OrderError:
    """
    Build the error for hosts that did not vote in time.

    :param hosts: ids of the hosts without a final vote
    :param exchange: votes by host
    :return: the error
    """
    descriptions = []
    for host_id in hosts:
        vote = exchange.answers.get(host_id)
        descriptions.append(f"{host_id} ({vote.reason if vote else 'no answer'})")
    return OrderVotesMissing(f"no vote of {', '.join(descriptions)}")
