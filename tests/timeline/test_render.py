"""Tests of timeline rendering, event encoding and event selection."""

import json

from mangohatch.timeline import Event, EventKind, EventSelection
from mangohatch.timeline.codec import decode_event, encode_event
from mangohatch.timeline.render import RENDERERS, Timeline
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def timeline():
    event = Event(
        time_ms=1_700_000_000_000.0,
        count=0,
        host="entry-1",
        zone="puno",
        kind=EventKind.REQUEST_SLOW,
        cause="queued <12 ms>",
        request_id="r1",
        upstream="u1",
        duration_ms=31.5,
    )
    return Timeline(
        events=[event], offsets_ms={"entry-2": (-0.5, 1.0)}, silent_hosts=["entry-3"]
    )


def test_text_names_event_offset_and_silent_host(timeline):
    lines = RENDERERS["text"].render(timeline).splitlines()
    assert lines[0].startswith("2023-11-14T22:13:20.000Z entry-1 puno request_slow")
    assert "duration_ms=31.5" in lines[0]
    assert lines[1:] == [
        "# clock of entry-2: -0.500 to +1.000 ms",
        "# no answer from entry-3",
    ]


def test_json_round_trip(timeline):
    document = json.loads(RENDERERS["json"].render(timeline))
    assert document["events"][0]["request_id"] == "r1"
    assert document["silent_hosts"] == ["entry-3"]


def test_html_escapes_causes(timeline):
    page = RENDERERS["html"].render(timeline)
    assert "queued &lt;12 ms&gt;" in page
    assert "<12 ms>" not in page


def test_event_encoding_round_trip(timeline):
    event = timeline.events[0]
    assert decode_event(encode_event(event)) == event


def test_selection_needs_every_field(timeline):
    events = timeline.events
    chosen = EventSelection(request_id="r1", upstream="u1")
    other = EventSelection(request_id="r1", upstream="u2")
    later = EventSelection(since_ms=1_700_000_000_001.0)
    assert list(chosen.select(events)) == list(events)
    assert not list(other.select(events))
    assert not list(later.select(events))
