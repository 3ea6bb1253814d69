"""Callers that keep their connections until the host closes them."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from standins.host_processes.host import HostProcess
from standins.host_processes.http import Message, format_message, read_message

__all__ = ["Answer", "Callers"]

HOST_NAME = "soak.example"
NEW_CONNECTION_SHARE = 0.3
MAX_IDLE_S = 12.0  # four fifths of the idle timeout


@dataclass(slots=True, kw_only=True)
class Answer:
    """What a caller got; ``status`` is 0 without a complete answer."""

    request_id: str
    path: str
    host: HostProcess
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    service: str = ""
    key: str = ""
    reused: bool = False
    cause: str = ""


Kept = tuple[asyncio.StreamReader, asyncio.StreamWriter, float]


class Callers:
    """
    Sends requests over kept and new connections.

    :param rng: chooses connections
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.answers: list[Answer] = []
        self._rng = rng
        self._numbers = itertools.count(1)
        self._kept: dict[str, list[Kept]] = {}

    async def send(
        self, host: HostProcess, path: str, *, key: str = "", deadline_ms: int = 1_500
    ) -> Answer:
        """
        Send a request and read its answer.

        :param host: the host that gets it
        :param path: path of the request
        :param key: key of a client account, empty for none
        :param deadline_ms: how long the caller waits, in milliseconds
        :return: the answer
        """
        answer = Answer(
            request_id=f"{next(self._numbers):016x}",
            path=path,
            key=key,
            host=host,
            sent_s=time.monotonic(),
        )
        self.answers.append(answer)
        fields = {
            "Host": HOST_NAME,
            "Request-Id": answer.request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        if key:
            fields["Authorization"] = f"Bearer {key}"
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                reader, writer = await self._connect(answer)
                writer.write(format_message(f"GET {path} HTTP/1.1", fields))
                reply = await read_message(reader)
                answer.status = reply.status
                answer.service = reply.body.decode("latin1")
                self._keep(host, reply, reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            answer.cause = type(exc).__name__
            if writer is not None:
                writer.close()
        answer.ended_s = time.monotonic()
        return answer

    async def _connect(
        self, answer: Answer
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        kept = self._kept.setdefault(answer.host.name, [])
        while kept and self._rng.random() > NEW_CONNECTION_SHARE:
            reader, writer, since_s = kept.pop()
            usable = time.monotonic() - since_s < MAX_IDLE_S
            if usable and not reader.at_eof() and not writer.is_closing():
                answer.reused = True
                return reader, writer
            writer.close()
        return await asyncio.open_connection(
            answer.host.address, answer.host.ports["front"]
        )

    def _keep(
        self,
        host: HostProcess,
        reply: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if reply.fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._kept[host.name].append((reader, writer, time.monotonic()))

    def close(self) -> None:
        """Close all connections."""
        for kept in self._kept.values():
            for _, writer, _ in kept:
                writer.close()
