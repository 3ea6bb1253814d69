"""The operators' door: queries, orders, health and metrics over HTTP."""
