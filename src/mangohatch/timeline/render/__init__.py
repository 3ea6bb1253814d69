"""Renders the timeline as text, JSON or HTML."""

from mangohatch.timeline.render.base import Renderer, Timeline
from mangohatch.timeline.render.html import HtmlRenderer
from mangohatch.timeline.render.json import JsonRenderer
from mangohatch.timeline.render.text import TextRenderer

__all__ = [
    "RENDERERS",
    "HtmlRenderer",
    "JsonRenderer",
    "Renderer",
    "TextRenderer",
    "Timeline",
]

RENDERERS: dict[str, Renderer] = {
    "text": TextRenderer(),
    "json": JsonRenderer(),
    "html": HtmlRenderer(),
}
