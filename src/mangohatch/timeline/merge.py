"""Merges the events of several hosts into one causal order."""

import heapq
from collections.abc import Iterable, Sequence

from mangohatch.timeline.event import Event

__all__ = ["merge_events"]


def causal_key(event: Event) -> tuple[float, int, str]:
    """
    Return the sort key of an event.

    A message carries a reading of the sender's hybrid clock, and later readings of
    the receiver are higher. Therefore an event that may have caused another one is
    sorted before it.

    :param event: the event
    :return: time in milliseconds, tie breaker, host id
    """
    return event.time_ms, event.count, event.host


def merge_events(batches: Iterable[Sequence[Event]], *, limit: int) -> list[Event]:
    """
    Merge the events of several hosts and keep the latest.

    :param batches: events of each host, oldest first
    :param limit: maximum number of events to return
    :return: events without duplicates, in causal order
    """
    merged: list[Event] = []
    for event in heapq.merge(*batches, key=causal_key):
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged[-limit:]
