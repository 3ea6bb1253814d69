"""Choice of the upstream for a call: one kind a module."""

from mangohatch.core.choice.base import AvailableCallback, Chooser

__all__ = ["AvailableCallback", "Chooser"]
