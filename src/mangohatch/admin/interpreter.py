"""Executes sentences of the operators' language."""

from collections.abc import Sequence

from mangohatch.admin.events import EventReader
from mangohatch.admin.explain import Explainer
from mangohatch.admin.fleet import FleetReader
from mangohatch.admin.release import Releaser
from mangohatch.admin.reply import ErrorAnswer, OrderAnswer, Reply, ReplyKind
from mangohatch.clock import Clock
from mangohatch.errors import MangohatchError, OrderUnsupported, SentenceError
from mangohatch.language import (
    ExplainRequest,
    ReleaseRequest,
    Sentence,
    ShowEvents,
    ShowRows,
    parse,
)
from mangohatch.language.fields import ANSWER_COLUMNS, COLUMNS
from mangohatch.orders.base import OrderHandler
from mangohatch.orders.record import OrderRecord, OrderState
from mangohatch.timeline import Event, EventSelection

__all__ = ["Interpreter"]

EVENT_COLUMNS = (
    "time_ms",
    "host",
    "kind",
    "service",
    "upstream",
    "request_id",
    "duration_ms",
    "cause",
)


class Interpreter:
    """
    Executes one sentence per call; every wait is bounded in time.

    :param fleet: reader of the rows of all hosts
    :param events: reader of the events of all hosts
    :param clock: source of time
    :param orders: executes orders; None without a store
    :param releaser: releases quarantined requests; None without a quarantine
    """

    def __init__(
        self,
        *,
        fleet: FleetReader,
        events: EventReader,
        clock: Clock,
        orders: OrderHandler | None = None,
        releaser: Releaser | None = None,
    ) -> None:
        self._fleet = fleet
        self._events = events
        self._clock = clock
        self._orders = orders
        self._releaser = releaser
        self._explainer = Explainer(reader=events)

    async def run(self, text: str, *, order_id: str = "") -> Reply:
        """
        Execute a sentence.

        :param text: the sentence
        :param order_id: id of the order as chosen by the operator; empty for a new id
        :return: the reply; an invalid or refused sentence gives an error reply
        """
        try:
            return await self.dispatch(text, parse(text), order_id)
        except SentenceError as exc:
            error = ErrorAnswer(
                code=exc.code,
                message=str(exc),
                position=exc.position,
                expected=exc.expected,
            )
        except MangohatchError as exc:
            error = ErrorAnswer(code=exc.code, message=str(exc))
        return Reply(sentence=text, kind=ReplyKind.ERROR, error=error)

    async def dispatch(self, text: str, sentence: Sentence, order_id: str) -> Reply:
        """
        Execute a parsed sentence.

        :param text: the sentence as text
        :param sentence: the parsed sentence
        :param order_id: id of the order, used only when the sentence is an order
        :return: the reply
        :raises OrderUnsupported: when this host cannot execute the order
        """
        if isinstance(sentence, ShowRows):
            return await self.show_rows(text, sentence)
        if isinstance(sentence, ShowEvents):
            return await self.show_events(text, sentence)
        if isinstance(sentence, ExplainRequest):
            return await self.explain(text, sentence)
        if isinstance(sentence, ReleaseRequest):
            return await self.release(text, sentence)
        if self._orders is None:
            raise OrderUnsupported("this host has no store to write orders to")
        record = await self._orders.submit(sentence, order_id=order_id)
        return make_order_reply(text, record)

    async def show_rows(self, text: str, question: ShowRows) -> Reply:
        """
        Answer a question for rows.

        :param text: the sentence as text
        :param question: the parsed question
        :return: a reply with the rows
        """
        answer = await self._fleet.read(question)
        return Reply(
            sentence=text,
            kind=ReplyKind.ROWS,
            columns=COLUMNS[question.subject] + ANSWER_COLUMNS,
            rows=tuple(answer.rows),
            silent_hosts=tuple(answer.silent_hosts),
            truncated_hosts=tuple(answer.truncated_hosts),
        )

    async def show_events(self, text: str, question: ShowEvents) -> Reply:
        """
        Answer a question for events.

        :param text: the sentence as text
        :param question: the parsed question
        :return: a reply with the events
        """
        since_ms = 0.0
        if question.since_ms:
            since_ms = self._clock.wall_ms() - question.since_ms
        selection = EventSelection(
            request_id=question.request,
            service=question.service,
            upstream=question.upstream,
            host=question.host,
            kind=question.kind,
            since_ms=since_ms,
        )
        answer = await self._events.read(selection, limit=question.limit)
        reply = make_event_reply(text, answer.events, (), answer.silent_hosts)
        return reply.model_copy(update={"offsets_ms": answer.offsets_ms})

    async def explain(self, text: str, question: ExplainRequest) -> Reply:
        """
        Explain a request.

        :param text: the sentence as text
        :param question: the parsed question, which names the request
        :return: a reply with a summary and the events
        """
        answer = await self._explainer.explain(question.request)
        return make_event_reply(text, answer.events, answer.notes, answer.silent_hosts)

    async def release(self, text: str, order: ReleaseRequest) -> Reply:
        """
        Release a quarantined request.

        :param text: the sentence as text
        :param order: the parsed order, which names the request
        :return: accepted, or pending with the hosts that may still quarantine the
            request
        :raises OrderUnsupported: when this host has no quarantine
        """
        if self._releaser is None:
            raise OrderUnsupported("this host keeps no quarantine")
        result = await self._releaser.run(order)
        waiting = tuple(sorted({*result.unreleased_hosts, *result.silent_hosts}))
        record = OrderRecord(
            order_id="",
            service=order.service,
            state=OrderState.PENDING if waiting else OrderState.ACCEPTED,
            code="order_pending" if waiting else "",
            reason="not known to be released everywhere" if waiting else "",
            waiting_for=waiting,
        )
        return make_order_reply(text, record)


def make_order_reply(text: str, record: OrderRecord) -> Reply:
    """
    Make the reply to an order.

    :param text: the sentence
    :param record: state of the order
    :return: the reply
    """
    order = OrderAnswer(
        order_id=record.order_id,
        state=str(record.state),
        service=record.service,
        revision=record.revision,
        code=record.code,
        reason=record.reason,
        waiting_for=record.waiting_for,
    )
    return Reply(sentence=text, kind=ReplyKind.ORDER, order=order)


def make_event_reply(
    text: str, events: Sequence[Event], notes: Sequence[str], silent: Sequence[str]
) -> Reply:
    """
    Make a reply that lists events.

    :param text: the sentence
    :param events: events in causal order
    :param notes: sentences that summarize the events
    :param silent: ids of the hosts that did not answer
    :return: the reply
    """
    return Reply(
        sentence=text,
        kind=ReplyKind.EVENTS,
        columns=EVENT_COLUMNS,
        rows=tuple(make_event_row(event) for event in events),
        notes=tuple(notes),
        silent_hosts=tuple(silent),
    )


def make_event_row(event: Event) -> dict[str, object]:
    """
    Make the row of an event; empty fields are omitted.

    :param event: the event
    :return: values by column
    """
    pairs = ((name, getattr(event, name)) for name in Event.__slots__)
    return {name: value for name, value in pairs if value}
