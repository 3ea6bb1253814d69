"""Merging of the events of many hosts into one causal order."""

import heapq
from collections.abc import Iterable, Sequence

from mangohatch.timeline.event import Event

__all__ = ["merge_events"]


def causal_key(event: Event) -> tuple[float, int, str]:
    """
    Make the sort key of an event.

    A message carries the sender's hybrid clock, and the receiver's readings
    after it are higher, so an event that could have caused another comes first.

    :param event: the event
    :return: time, tie breaker, host
    """
    return event.time_ms, event.count, event.host


def merge_events(batches: Iterable[Sequence[Event]], *, limit: int) -> list[Event]:
    """
    Merge events of several hosts; the latest are kept.

    :param batches: events of each host, oldest first
    :param limit: the most events to return
    :return: events without duplicates, in causal order
    """
    merged: list[Event] = []
    for event in heapq.merge(*batches, key=causal_key):
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged[-limit:]
