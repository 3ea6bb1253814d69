"""The caller-facing side: HTTP server, request rules, forwarding and outcomes."""
