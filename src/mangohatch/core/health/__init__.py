"""Health of upstreams: which of them accept work, and how much of it."""

from mangohatch.core.health.base import Health
from mangohatch.core.health.ejection import OutlierHealth
from mangohatch.core.health.listener import HealthListener
from mangohatch.core.health.none import NoHealth
from mangohatch.core.health.settings import HealthSettings

__all__ = ["Health", "HealthListener", "HealthSettings", "NoHealth", "OutlierHealth"]
