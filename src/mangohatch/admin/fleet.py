"""Reads rows from the tables of all hosts."""

import json
import uuid
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from mangohatch.admin.conditions import Row, matches
from mangohatch.admin.sources import RowSource
from mangohatch.clock import Clock
from mangohatch.language import ShowRows, Subject
from mangohatch.language.fields import ANSWER_COLUMNS
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.exchange import Exchange
from mangohatch.peer.messages.queries import StatusQuery, StatusReply

__all__ = ["FleetReader", "FleetRows"]

WAIT_MS = 1000.0
RESEND_MS = 300.0
MAX_ROWS_PER_HOST = 5000
SILENT_SOURCE = "membership"

QUESTION_ADAPTER = TypeAdapter(ShowRows)


@dataclass(slots=True, kw_only=True)
class FleetRows:
    """Rows of all hosts that answered, and the hosts whose rows are missing."""

    rows: list[Row]
    silent_hosts: Sequence[str]
    truncated_hosts: Sequence[str]


class FleetReader:
    """
    Reads rows from every live member within a bounded time, and answers queries.

    :param bus: message bus to the other hosts
    :param clock: source of time
    :param sources: row sources of this host, one for each subject
    """

    def __init__(
        self, *, bus: PeerBus, clock: Clock, sources: Iterable[RowSource]
    ) -> None:
        self._bus = bus
        self._clock = clock
        self._sources: dict[Subject, RowSource] = {
            source.subject: source for source in sources
        }
        self._pending: dict[str, Exchange[StatusReply]] = {}
        bus.subscribe(StatusQuery, self.on_query)
        bus.subscribe(StatusReply, self.on_reply)

    async def read(self, question: ShowRows) -> FleetRows:
        """
        Read the rows that answer a question from all members.

        :param question: the question
        :return: rows with host, age and source, and the hosts that did not answer
        """
        query = StatusQuery(
            query_id=uuid.uuid4().hex,
            subject=question.subject,
            filter_json=QUESTION_ADAPTER.dump_json(question).decode(),
        )
        exchange: Exchange[StatusReply] = Exchange(
            bus=self._bus, clock=self._clock, message=query
        )
        self._pending[query.query_id] = exchange
        sent_ms = self._clock.now_ms()
        exchange.add_answer(self._bus.host_id, self.answer(query))
        members = frozenset(view.host_id for view in self._bus.members())
        try:
            silent = await exchange.run(
                wanted=lambda: members,
                final=lambda answer: True,
                wait_ms=WAIT_MS,
                resend_ms=RESEND_MS,
            )
        finally:
            del self._pending[query.query_id]
        rows = self.collect(question, exchange.answers, sent_ms)
        if question.subject is Subject.HOSTS:
            rows += self.make_silent_rows(question, silent)
        truncated = [
            host_id for host_id, answer in exchange.answers.items() if answer.truncated
        ]
        return FleetRows(
            rows=rows,
            silent_hosts=sorted(silent),
            truncated_hosts=sorted(truncated),
        )

    def collect(
        self, question: ShowRows, answers: dict[str, StatusReply], sent_ms: float
    ) -> list[Row]:
        """
        Add host, age and source to the rows of all answers.

        The age is measured from the time the question was sent, so it is never
        too low.

        :param question: the question
        :param answers: answers by host id
        :param sent_ms: monotonic time when the question was sent, in milliseconds
        :return: rows that meet the conditions
        """
        age_ms = round(self._clock.now_ms() - sent_ms)
        found = []
        source = self._sources.get(question.subject)
        label = source.label if source else ""
        for host_id in sorted(answers):
            reply = answers[host_id]
            extra = {"host": host_id, "age_ms": reply.age_ms + age_ms, "source": label}
            for text in reply.rows:
                row = {**json.loads(text), **extra}
                if matches(row, question.conditions):
                    found.append(row)
        return found

    def make_silent_rows(self, question: ShowRows, silent: Iterable[str]) -> list[Row]:
        """
        Make rows for members that did not answer.

        :param question: the question
        :param silent: ids of these members
        :return: rows made from the membership that meet the conditions
        """
        members = {view.host_id: view for view in self._bus.members()}
        rows: list[Row] = []
        for host_id in sorted(silent):
            row: Row = {"host": host_id, "state": "silent", "source": SILENT_SOURCE}
            member = members.get(host_id)
            if member is not None:
                row |= {"zone": member.zone, "incarnation": member.incarnation}
            rows.append(row)
        return [row for row in rows if matches(row, question.conditions)]

    def answer(self, query: StatusQuery) -> StatusReply:
        """
        Answer a query from the tables of this host.

        Conditions on columns that the asking host adds are left to that host.

        :param query: the query
        :return: rows as JSON, with age 0 since they are read now
        """
        reply = StatusReply(query_id=query.query_id)
        try:
            question = QUESTION_ADAPTER.validate_json(query.filter_json)
        except ValidationError:
            return reply
        source = self._sources.get(question.subject)
        if source is None:
            return reply
        local = [
            condition
            for condition in question.conditions
            if condition.field not in ANSWER_COLUMNS
        ]
        for row in source.rows(question.service):
            if not matches(row, local):
                continue
            if len(reply.rows) == MAX_ROWS_PER_HOST:
                reply.truncated = True
                break
            reply.rows.append(json.dumps(row))
        return reply

    def on_query(self, sender: str, query: StatusQuery) -> None:
        """
        Answer a query of another host.

        :param sender: id of the host that asked
        :param query: the query
        """
        self._bus.send(sender, self.answer(query))

    def on_reply(self, sender: str, reply: StatusReply) -> None:
        """
        Record the answer of another host; drop it when its query has ended.

        :param sender: id of the host that answered
        :param reply: its answer
        """
        exchange = self._pending.get(reply.query_id)
        if exchange is not None:
            exchange.add_answer(sender, reply)
