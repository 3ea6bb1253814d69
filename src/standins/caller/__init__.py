"""Stand-in callers that send requests, check responses and resend where safe."""

from standins.caller.balancer import Balancer
from standins.caller.caller import Caller
from standins.caller.plan import PlannedRequest, RequestKind, make_plan
from standins.caller.record import Attempt, AttemptResult, Record
from standins.caller.verdict import Costs, Verdict, evaluate

__all__ = [
    "Attempt",
    "AttemptResult",
    "Balancer",
    "Caller",
    "Costs",
    "PlannedRequest",
    "Record",
    "RequestKind",
    "Verdict",
    "evaluate",
    "make_plan",
]
