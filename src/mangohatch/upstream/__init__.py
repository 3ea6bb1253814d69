"""Connections to upstreams: streaming HTTP/1.1 client over a bounded pool."""
