"""Logging: one line of key=value pairs for each event."""

import logging
import os
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

import structlog

__all__ = ["LineWriter", "configure_logging"]


class LineWriter:
    """
    Writes lines to a file descriptor and never waits for its reader.

    A line that does not fit into the pipe is left out and counted; the next line that
    fits tells how many were.

    :param fd: an open file descriptor; it is made non-blocking
    """

    def __init__(self, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        os.set_blocking(fd, False)

    def msg(self, message: str) -> None:
        """
        Write a line.

        :param message: the line
        """
        if self.dropped:
            message = f"{message} lines_dropped={self.dropped}"
        try:
            os.write(self._fd, f"{message}\n".encode())
        except BlockingIOError:
            self.dropped += 1
        else:
            self.dropped = 0

    log = debug = info = warning = error = critical = exception = msg


def get_shared_writer(writer: LineWriter, *names: str) -> LineWriter:
    """
    Give the same writer to every logger.

    :param writer: the writer
    :param names: of the logger, not used
    :return: the writer
    """
    return writer


def configure_logging(*, to_stdout: bool = False) -> None:
    """
    Send structlog events away as key=value lines.

    :param to_stdout: to standard output, without ever waiting for its reader; to
        standard error otherwise
    """
    factory: Callable[..., Any] = structlog.WriteLoggerFactory(file=sys.stderr)
    if to_stdout:
        factory = partial(get_shared_writer, LineWriter(sys.stdout.fileno()))
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
