"""The operator API: queries, orders, probes and metrics over HTTP."""
