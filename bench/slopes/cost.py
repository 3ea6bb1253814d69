"""Measurement of the processor time and memory of a function."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

__all__ = ["cpu_us", "memory_bytes"]

NS_PER_US = 1_000


def cpu_us(work: Callable[[], Any]) -> float:
    """
    Measure the processor time that this process spends in a function.

    :param work: function to call once, with garbage collection disabled
    :return: processor time in microseconds
    """
    gc.collect()
    gc.disable()
    try:
        started_ns = time.process_time_ns()
        work()
        return (time.process_time_ns() - started_ns) / NS_PER_US
    finally:
        gc.enable()


def memory_bytes(build: Callable[[], Any]) -> float:
    """
    Measure the memory that a data structure occupies.

    :param build: function that builds and returns the structure
    :return: bytes allocated by Python
    """
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        structure = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del structure
        return after - before
    finally:
        tracemalloc.stop()
