"""Processor time of requests through a real entry host process."""

from bench.overhead import TICKS_PER_SECOND, cpu_ticks, run_pair
from bench.slopes.base import Slope

__all__ = ["REQUEST_SLOPES"]

WARM_UP_REQUESTS = 300
US_PER_S = 1_000_000


class RequestTime(Slope):
    """GETs of 200 bytes on one persistent connection, for the whole process."""

    name = "request through an entry host"
    unit = "us"
    per = "request"
    sizes = (1_000, 2_000, 4_000)

    def measure(self, size: int) -> float:
        with run_pair() as pair:
            for _ in range(WARM_UP_REQUESTS):
                pair.proxied.call_ms()
            ticks = cpu_ticks(pair.entry_pid)
            for _ in range(size):
                pair.proxied.call_ms()
            used_ticks = cpu_ticks(pair.entry_pid) - ticks
        return used_ticks * US_PER_S / TICKS_PER_SECOND


REQUEST_SLOPES = (RequestTime(),)
