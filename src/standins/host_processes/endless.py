"""Stand-in for a faulty upstream whose bytes are no answer or never end."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from standins.host_processes.http import Message, format_message
from standins.host_processes.site import HEALTH_PATH
from standins.host_processes.upstream import SIGNATURE, QueueingUpstream

__all__ = ["ENDLESS_ANSWERS", "EndlessAnswer", "EndlessUpstream"]

PIECE = b"z" * 16_384
ANNOUNCED_BYTES = 100_000_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class EndlessAnswer:
    """Bytes that begin an answer, and those that follow again and again."""

    name: str
    start: bytes
    piece: bytes
    fields: tuple[tuple[str, str], ...] | None = None


def make_body(name: str, piece: bytes, *fields: tuple[str, str]) -> EndlessAnswer:
    """
    Make an answer with a whole head, whose body never ends.

    :param name: name of the kind
    :param piece: bytes of the body that are repeated
    :param fields: header fields besides those of a sound answer
    :return: the answer
    """
    return EndlessAnswer(name=name, start=b"", piece=piece, fields=fields)


CHUNK = b"4000\r\n" + PIECE + b"\r\n"
ENDLESS_ANSWERS = (
    EndlessAnswer(name="no status line", start=b"", piece=PIECE),
    EndlessAnswer(name="one field", start=b"HTTP/1.1 200 OK\r\nX: ", piece=PIECE),
    EndlessAnswer(name="fields", start=b"HTTP/1.1 200 OK\r\n", piece=b"X: y\r\n" * 999),
    EndlessAnswer(
        name="interim answers",
        start=b"",
        piece=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500,
    ),
    make_body("chunks", CHUNK, ("Transfer-Encoding", "chunked")),
    make_body("a chunk size", b"0" * 16_384, ("Transfer-Encoding", "chunked")),
    make_body("no chunks", PIECE, ("Transfer-Encoding", "chunked")),
    make_body("a great length", PIECE, ("Content-Length", str(ANNOUNCED_BYTES))),
    make_body("no length", PIECE),
    make_body("bytes after the answer", PIECE, ("Content-Length", "5")),
)


class EndlessUpstream(QueueingUpstream):
    """
    Answers each request with bytes without end, until the host closes.

    ``sent`` counts the bytes by kind of answer.

    :param answers: kinds of answers, used in turn
    :param checks_too: whether health checks are answered so as well
    :param parts: arguments of :class:`QueueingUpstream`
    """

    def __init__(
        self,
        *,
        answers: Sequence[EndlessAnswer] = ENDLESS_ANSWERS,
        checks_too: bool = False,
        **parts: Any,
    ) -> None:
        super().__init__(**parts)
        self.sent = {answer.name: 0 for answer in answers}
        self._answers = itertools.cycle(answers)
        self._checks_too = checks_too

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        is_check = request.line.split(" ")[1] == HEALTH_PATH
        if is_check and not self._checks_too:
            return await super()._handle(request, reader, writer)
        answer = next(self._answers)
        start = answer.start
        if answer.fields is not None:
            request_id = request.fields.get("request-id", "")
            fields = {"Request-Id": request_id, SIGNATURE: f"{self.name}.{request_id}"}
            start += format_message("HTTP/1.1 200 X", fields | dict(answer.fields))
        writer.write(start)
        while True:
            writer.write(answer.piece)
            await writer.drain()
            self.sent[answer.name] += len(answer.piece)
            await asyncio.sleep(0)
