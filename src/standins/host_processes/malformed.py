"""Stand-in for an upstream in trouble, whose answers are not valid HTTP/1.1."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

from standins.host_processes.http import Message, format_message
from standins.host_processes.site import HEALTH_PATH
from standins.host_processes.upstream import SIGNATURE, QueueingUpstream

__all__ = ["FORGED_BODY", "MalformedUpstream"]

FORGED_BODY = b"forged"
ListAnswers = Callable[[dict[str, str], bytes], dict[str, bytes]]


class MalformedUpstream(QueueingUpstream):
    """
    Answers requests with malformed heads, whose bodies look like sound answers.

    ``sent`` counts these answers by kind.

    :param list_answers: lists the answers by kind, for given header fields and a body
    :param checks_too: whether health checks are answered so as well
    :param one_in: of how many requests one gets such an answer
    :param parts: arguments of :class:`QueueingUpstream`
    """

    def __init__(
        self,
        *,
        list_answers: ListAnswers,
        checks_too: bool = False,
        one_in: int = 1,
        **parts: Any,
    ) -> None:
        super().__init__(**parts)
        self._list_answers = list_answers
        self.sent: Counter[str] = Counter()
        self._numbers = itertools.count()
        self._turns = itertools.cycle([True] + [False] * (one_in - 1))
        self._checks_too = checks_too

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        is_check = request.line.split(" ")[1] == HEALTH_PATH
        if (is_check and not self._checks_too) or not next(self._turns):
            return await super()._handle(request, reader, writer)
        request_id = request.fields.get("request-id", "")
        fields = {
            "Request-Id": request_id,
            "Upstream-Instance": self.name,
            "Upstream-Load": "0,0,9,100",
            SIGNATURE: f"{self.name}.{request_id}",
        }
        length = {"Content-Length": str(len(FORGED_BODY))}
        forged = format_message("HTTP/1.1 200 OK", fields | length, FORGED_BODY)
        answers = self._list_answers(fields, forged)
        name = [*answers][next(self._numbers) % len(answers)]
        self.sent[name] += 1
        writer.write(answers[name])
        await writer.drain()
        return True
