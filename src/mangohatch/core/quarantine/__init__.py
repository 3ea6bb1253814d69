"""Quarantine of requests that crash upstreams."""

from mangohatch.core.quarantine.evidence import CheckResult, CrashCheck, CrashEvidence
from mangohatch.core.quarantine.gate import QuarantineGate
from mangohatch.core.quarantine.notices import QuarantineNotices
from mangohatch.core.quarantine.table import QuarantineTable

__all__ = [
    "CheckResult",
    "CrashCheck",
    "CrashEvidence",
    "QuarantineGate",
    "QuarantineNotices",
    "QuarantineTable",
]
