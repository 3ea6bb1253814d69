"""Connections to upstreams: a streaming HTTP/1.1 client over bounded pools."""
