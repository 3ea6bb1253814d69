"""Counters and latency histograms of one host, and their exposition."""

from mangohatch.metrics.exposition import CONTENT_TYPE, Exposition
from mangohatch.metrics.latency import LatencyWindow
from mangohatch.metrics.registry import Metrics, ServiceMetrics
from mangohatch.metrics.sample import Sample, SampleKind

__all__ = [
    "CONTENT_TYPE",
    "Exposition",
    "LatencyWindow",
    "Metrics",
    "Sample",
    "SampleKind",
    "ServiceMetrics",
]
