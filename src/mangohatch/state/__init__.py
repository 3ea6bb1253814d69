"""Configuration in force, the watch lease and distribution to peers."""

from mangohatch.state.config_table import ConfigTable
from mangohatch.state.items import ConfigRejected, read_service, service_value

__all__ = ["ConfigRejected", "ConfigTable", "read_service", "service_value"]
