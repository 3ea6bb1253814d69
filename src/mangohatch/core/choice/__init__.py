"""Choice of the upstream for a call, one policy per module."""

from mangohatch.core.choice.base import AvailableCallback, Chooser

__all__ = ["AvailableCallback", "Chooser"]
