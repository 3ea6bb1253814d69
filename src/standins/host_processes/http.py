"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Message", "format_message", "read_message"]


@dataclass(slots=True, kw_only=True)
class Message:
    """A request or response, with field names in lower case."""

    line: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """
    Read a message whose body has a length, comes in chunks, or is empty.

    :param reader: stream of a connection
    :return: the message
    :raises asyncio.IncompleteReadError: if the connection ends before the message
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *lines = text.rstrip("\r\n").split("\r\n")
    pairs = (item.partition(":") for item in lines)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    message = Message(line=line, fields=fields)
    if fields.get("transfer-encoding") != "chunked":
        length = int(fields.get("content-length", 0))
        message.body = await reader.readexactly(length)
        return message
    while size := int((await reader.readline()).split(b";")[0], 16):
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return message


def format_message(line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """
    Encode a message.

    :param line: start line
    :param fields: header fields
    :param body: body, whose length the fields have to tell
    :return: the bytes of the message
    """
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{line}\r\n{head}\r\n".encode("latin1") + body
