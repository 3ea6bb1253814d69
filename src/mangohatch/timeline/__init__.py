"""The time line of events over all hosts."""

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
