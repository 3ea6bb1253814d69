"""Signs by which upstreams end or pause new work."""

from mangohatch.core.signs.settings import SignSettings
from mangohatch.core.signs.system import SignSystem

__all__ = ["SignSettings", "SignSystem"]
