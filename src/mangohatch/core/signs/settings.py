"""Settings of the signs that upstreams give."""

from dataclasses import dataclass

__all__ = ["MAX_PAUSE_MS", "SignSettings"]

MAX_PAUSE_MS = 120_000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SignSettings:
    """
    Bounds of pauses and of the sign that an upstream leaves.

    A pause is cut to ``max_pause_ms``. A host returns up to ``return_spread`` of the
    pause after its end, at most ``max_return_spread_ms``, so that not all hosts return
    together. The sign that an upstream leaves ends with its process, or when the
    upstream reports its load without it for ``leaving_term_ms``.

    A pause that another host was asked for is obeyed for ``max_peer_pause_ms``. If the
    upstream then accepts a request of this host before the end of that pause, it turns
    away single hosts, and its pauses of others are ignored for ``peer_distrust_ms``.
    """

    max_pause_ms: float = MAX_PAUSE_MS
    return_spread: float = 0.1
    max_return_spread_ms: float = 250.0
    leaving_term_ms: float = 3_000.0
    max_peer_pause_ms: float = 1_000.0
    peer_distrust_ms: float = 10_000.0
