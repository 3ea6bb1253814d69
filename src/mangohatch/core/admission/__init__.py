"""Short queues of calls that wait for an upstream, and early refusal."""

from mangohatch.core.admission.queue import Waiting, WaitQueue

__all__ = ["WaitQueue", "Waiting"]
