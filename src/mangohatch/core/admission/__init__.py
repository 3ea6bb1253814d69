"""Short queues of calls that wait for an upstream, with early refusal."""

from mangohatch.core.admission.queue import WaitingCall, WaitQueue, max_wait_ms

__all__ = ["WaitQueue", "WaitingCall", "max_wait_ms"]
