"""Releases quarantined requests on all hosts."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mangohatch.admin.fleet import FleetReader
from mangohatch.clock import Clock
from mangohatch.language import (
    Condition,
    Operator,
    ReleaseRequest,
    ShowRows,
    Subject,
)

__all__ = ["ReleaseResult", "Releaser"]

WAIT_MS = 3000.0
RETRY_MS = 200.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True)
class ReleaseResult:
    """Hosts that still quarantine the request, and hosts that did not answer."""

    unreleased_hosts: Sequence[str]
    silent_hosts: Sequence[str]


class Releaser:
    """
    Releases a request and checks on all hosts that it is released.

    :param fleet: reader of the quarantine rows of all hosts
    :param clock: source of time
    :param release: releases a request, given by service and fingerprint, on this
        host and notifies the other hosts
    """

    def __init__(
        self,
        *,
        fleet: FleetReader,
        clock: Clock,
        release: Callable[[str, str], bool],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._release = release

    async def run(self, order: ReleaseRequest) -> ReleaseResult:
        """
        Release a request on all hosts.

        Since a notice may be lost, the release is repeated every :data:`RETRY_MS`
        until all hosts answer that the request is released, for at most
        :data:`WAIT_MS`.

        :param order: the order, which names the request
        :return: hosts on which the request is not known to be released
        """
        question = ShowRows(
            subject=Subject.QUARANTINE,
            service=order.service,
            conditions=(
                Condition(
                    field="fingerprint",
                    operator=Operator.EQUAL,
                    value=order.fingerprint,
                ),
            ),
        )
        until_ms = self._clock.now_ms() + WAIT_MS
        while True:
            self._release(order.service, order.fingerprint)
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            answer = await self._fleet.read(question)
            unreleased_hosts = sorted({row["host"] for row in answer.rows})
            done = not unreleased_hosts and not answer.silent_hosts
            if done or self._clock.now_ms() >= until_ms:
                return ReleaseResult(
                    unreleased_hosts=unreleased_hosts, silent_hosts=answer.silent_hosts
                )
