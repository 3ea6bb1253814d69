"""Short queues of calls that wait for an upstream, and early refusal."""

from mangohatch.core.admission.queue import Waiting, WaitQueue, max_wait_ms

__all__ = ["WaitQueue", "Waiting", "max_wait_ms"]
