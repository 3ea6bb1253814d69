"""Logging with one line of key=value pairs for each event."""

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
    Writes lines to a file descriptor without blocking.

    A line that does not fit into the pipe is dropped and counted; the next line that
    fits reports the number of dropped lines. A slow reader therefore never blocks the
    process.

    :param fd: an open file descriptor, which is set to non-blocking mode
    """

    def __init__(self, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        os.set_blocking(fd, False)

    def msg(self, message: str) -> None:
        """
        Write a line, or drop it when the pipe is full.

        :param message: the line without line end
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
    Return the same writer for every logger.

    :param writer: the writer that all loggers share
    :param names: names of the logger, unused
    :return: the shared writer
    """
    return writer


def configure_logging(*, to_stdout: bool = False) -> None:
    """
    Configure structlog to write events as key=value lines.

    :param to_stdout: whether to write to standard output without blocking, instead of
        to standard error
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
