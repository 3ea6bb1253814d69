"""A load balancer for servers whose load shifts in milliseconds."""

__version__ = "0.1.0"

__all__ = ["__version__"]
