"""Choice of the upstream for a call: one kind a module."""

from mangohatch.core.choice.base import Available, Chooser

__all__ = ["Available", "Chooser"]
