"""Judgement of upstreams: which take work, and how much of it."""

from mangohatch.core.health.base import Health
from mangohatch.core.health.none import NoHealth

__all__ = ["Health", "NoHealth"]
