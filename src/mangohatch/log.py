"""Logging: one line of key=value pairs for each event, on standard error."""

import logging
import sys

import structlog

__all__ = ["configure_logging"]


def configure_logging() -> None:
    """Send structlog events to standard error as key=value lines."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
