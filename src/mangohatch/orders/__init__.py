"""Operator orders: checked by every host, written once, confirmed by every host."""
