"""Carries out orders, from the sentence to the confirmation by every host."""

import asyncio
import dataclasses
import random
from collections import OrderedDict
from collections.abc import Callable, Sequence

import structlog

from mangohatch.clock import Clock
from mangohatch.config import ServiceSpec
from mangohatch.errors import MangohatchError, OrderInvalid, StoreWriteUnknown
from mangohatch.language import OrderSentence
from mangohatch.orders.base import OrderHandler
from mangohatch.orders.changes import apply_order, target_service_name
from mangohatch.orders.record import OrderRecord, OrderState
from mangohatch.orders.required import RequiredHosts
from mangohatch.orders.view import ConfigView
from mangohatch.orders.vote_collector import VoteCollector
from mangohatch.orders.votes import Voter
from mangohatch.orders.writer import OrderWriter, WriteTask
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.peer.messages.orders import OrderPrepare
from mangohatch.state.items import (
    SERVICE_KIND,
    ConfigRejected,
    read_service,
    service_value,
    to_config_item,
)
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.timeline import EventKind, Recorder

__all__ = ["OrderService"]

ANSWER_TIMEOUT_MS = 8000.0
CONFIRM_TIMEOUT_MS = 6000.0
GIVE_UP_MS = 1_800_000.0
MAX_RECORDS = 500
PENDING_CODE = "order_pending"

log = structlog.get_logger()


class OrderService(OrderHandler):
    """
    Carries out the orders submitted to this host.

    Every required host checks an order. The order is then written once, on the
    condition that the object has not changed, and is accepted when its revision is
    active on every required host. Nothing is written before all of them have voted
    for the order.

    :param bus: message bus to the other hosts
    :param clock: clock of this host
    :param rng: source of ids and jitter; must be seeded differently in each process
    :param store: client of the object API
    :param view: configuration as received and applied by this host
    :param hosts: the hosts that must vote and confirm
    :param serving: returns whether this host serves requests
    :param publish: applies a written object on this host and sends it to peers
    :param recorder: recorder of timeline events
    """

    def __init__(
        self,
        *,
        bus: PeerBus,
        clock: Clock,
        rng: random.Random,
        store: ObjectStore,
        view: ConfigView,
        hosts: RequiredHosts,
        serving: Callable[[], bool],
        publish: Callable[[StoredObject], None],
        recorder: Recorder,
    ) -> None:
        self._host_id = bus.host_id
        self._clock = clock
        self._rng = rng
        self._view = view
        self._publish = publish
        self._recorder = recorder
        voter = Voter(bus=bus, view=view, serving=serving)
        self._vote_collector = VoteCollector(
            bus=bus, clock=clock, voter=voter, hosts=hosts
        )
        self._writer = OrderWriter(store=store, view=view, rng=rng)
        self._records: OrderedDict[str, OrderRecord] = OrderedDict()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def records(self) -> Sequence[OrderRecord]:
        return tuple(self._records.values())

    async def submit(self, sentence: OrderSentence, *, order_id: str) -> OrderRecord:
        order_id = order_id or f"{self._host_id}:{self._rng.getrandbits(64):016x}"
        record = self._records.get(order_id)
        if record is None:
            record = self.start_order(order_id, sentence)
        task = self._tasks.get(order_id)
        if task is not None:
            await asyncio.wait({task}, timeout=ANSWER_TIMEOUT_MS / 1000)
        answer = dataclasses.replace(record)
        if not answer.final:
            answer.state = OrderState.PENDING
            answer.code = PENDING_CODE
        return answer

    def start_order(self, order_id: str, sentence: OrderSentence) -> OrderRecord:
        """
        Start a task that carries out an order.

        :param order_id: id of the order
        :param sentence: the parsed order
        :return: record of the order, updated by the task
        :raises OrderInvalid: if the order names no service
        """
        record = OrderRecord(order_id=order_id, service=target_service_name(sentence))
        self._records[order_id] = record
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        task = asyncio.ensure_future(self.run(record, sentence))
        self._tasks[order_id] = task
        task.add_done_callback(lambda done: self._tasks.pop(order_id, None))
        return record

    async def stop(self) -> None:
        """Cancel the tasks of all orders; completed writes are not undone."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self, record: OrderRecord, sentence: OrderSentence) -> None:
        """
        Carry out an order and update its record.

        :param record: record of the order
        :param sentence: the parsed order
        """
        try:
            await self.write(record, sentence)
            await self.confirm(record)
        except StoreWriteUnknown as exc:
            record.reason = str(exc)
        except MangohatchError as exc:
            self.refuse(record, exc)
        except Exception:
            log.exception("order_failed", order=record.order_id)
            record.reason = "internal error"

    async def write(self, record: OrderRecord, sentence: OrderSentence) -> None:
        """
        Collect the votes of the required hosts and write the order.

        :param record: record of the order; its revision is set
        :param sentence: the parsed order
        :raises MangohatchError: if the order is refused; nothing was written
        :raises StoreWriteUnknown: if the outcome of the write stays unknown
        """
        base = await self._writer.read(record.service)
        before = read_base(base)
        after = apply_order(sentence, before)
        if base is not None and after == before:
            record.revision = base.revision
            return
        task = WriteTask(
            order_id=record.order_id,
            name=record.service,
            value=service_value(after),
            base=base,
        )
        await self._vote_collector.prepare(self.make_prepare(record, after, base))
        record.state = OrderState.WRITING
        until_ms = self._clock.now_ms() + GIVE_UP_MS

        def on_unknown() -> bool:
            record.state = OrderState.PENDING
            record.code = PENDING_CODE
            record.reason = "the store's answer was lost; the outcome is being read"
            return self._clock.now_ms() < until_ms

        stored = await self._writer.write(task, on_unknown=on_unknown)
        record.revision = stored.revision
        self._publish(stored)

    def make_prepare(
        self, record: OrderRecord, spec: ServiceSpec, base: StoredObject | None
    ) -> OrderPrepare:
        """
        Build the message that requests votes on an order.

        :param record: record of the order
        :param spec: specification of the service after the order
        :param base: the object to replace; None if there is none
        :return: the message
        """
        known = self._view.known_revision(record.service)
        return OrderPrepare(
            order_id=record.order_id,
            kind=SERVICE_KIND,
            name=record.service,
            base_revision=max(known, base.revision if base is not None else 0),
            json=spec.model_dump_json(),
        )

    async def confirm(self, record: OrderRecord) -> None:
        """
        Wait until a written order is active on every required host.

        :param record: record of the order
        """
        started_ms = self._clock.now_ms()
        record.reason = ""

        def proceed() -> bool:
            waited_ms = self._clock.now_ms() - started_ms
            if waited_ms >= CONFIRM_TIMEOUT_MS:
                record.state = OrderState.PENDING
                record.code = PENDING_CODE
                record.reason = "written, but not known to be in force everywhere"
            return waited_ms < GIVE_UP_MS

        if await self._vote_collector.confirm(record, proceed=proceed):
            self.accept(record)

    def accept(self, record: OrderRecord) -> None:
        """
        Complete an order that is active on every required host.

        :param record: record of the order
        """
        record.state = OrderState.ACCEPTED
        record.code = ""
        record.reason = ""
        self._recorder.record(
            EventKind.ORDER_ACCEPTED,
            service=record.service,
            revision=record.revision,
            cause=record.order_id,
        )

    def refuse(self, record: OrderRecord, exc: MangohatchError) -> None:
        """
        Complete an order that was not written.

        :param record: record of the order
        :param exc: cause of the refusal
        """
        record.state = OrderState.REFUSED
        record.code = exc.code
        record.reason = str(exc)
        self._recorder.record(
            EventKind.ORDER_REFUSED,
            service=record.service,
            cause=f"{record.order_id}: {exc.code}: {exc}",
        )


def read_base(base: StoredObject | None) -> ServiceSpec | None:
    """
    Parse the service that an order changes.

    :param base: stored object of the service; None if it does not exist
    :return: specification of the service; None if it does not exist
    :raises OrderInvalid: if the object is not a valid service
    """
    if base is None:
        return None
    item: ConfigItem = to_config_item(base)
    try:
        return read_service(item)
    except ConfigRejected as exc:
        raise OrderInvalid(f"the service in force is not valid: {exc}") from exc
