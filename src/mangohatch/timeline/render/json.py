"""Renders the timeline as a JSON document."""

import json

from mangohatch.timeline.codec import encode_event
from mangohatch.timeline.render.base import Renderer, Timeline

__all__ = ["JsonRenderer"]


class JsonRenderer(Renderer):
    """Renders an object with ``events``, ``offsets_ms`` and ``silent_hosts``."""

    content_type = "application/json"

    def render(self, timeline: Timeline) -> str:
        document = {
            "events": [json.loads(encode_event(event)) for event in timeline.events],
            "offsets_ms": timeline.offsets_ms,
            "silent_hosts": list(timeline.silent_hosts),
        }
        return json.dumps(document, indent=1) + "\n"
