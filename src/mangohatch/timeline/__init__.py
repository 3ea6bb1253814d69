"""The timeline: events of all hosts in causal order."""

from mangohatch.timeline.event import Event, EventKind
from mangohatch.timeline.merge import merge_events
from mangohatch.timeline.offset import OffsetTable
from mangohatch.timeline.recorder import HybridClock, Recorder
from mangohatch.timeline.selection import EventSelection

__all__ = [
    "Event",
    "EventKind",
    "EventSelection",
    "HybridClock",
    "OffsetTable",
    "Recorder",
    "merge_events",
]
