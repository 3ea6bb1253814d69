"""The callers' side: HTTP server, request rules, forwarding and outcomes."""
