"""Counters and latency histograms of one host."""

from mangohatch.metrics.latency import LatencyWindow
from mangohatch.metrics.registry import Metrics, ServiceMetrics
from mangohatch.metrics.sample import Sample, SampleKind, make_counter

__all__ = [
    "LatencyWindow",
    "Metrics",
    "Sample",
    "SampleKind",
    "ServiceMetrics",
    "make_counter",
]
