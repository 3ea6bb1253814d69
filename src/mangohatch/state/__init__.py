"""Active configuration, the watch lease and distribution to peers."""

from mangohatch.state.config_table import ConfigTable
from mangohatch.state.items import ConfigRejected, read_service, service_value
from mangohatch.state.joining import Readiness
from mangohatch.state.service import StateService

__all__ = [
    "ConfigRejected",
    "ConfigTable",
    "Readiness",
    "StateService",
    "read_service",
    "service_value",
]
