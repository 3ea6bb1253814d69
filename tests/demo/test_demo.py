"""Tests of the load and the closing line of the demo."""

import json

from demo.load import make_load
from demo.report import closing_line
from standins.caller import RequestKind, evaluate
from standins.sites import HIMAL
from tests.functions import function_tests

load_tests = function_tests(__name__)

REQUIRED_FIELDS = {
    "requests",
    "lost",
    "doubled",
    "mixed",
    "false_not_run",
    "truncated",
    "p50_ms",
    "p99_ms",
    "measuring_calls_per_request",
}


def test_closing_line_has_the_required_fields():
    document = json.loads(closing_line(evaluate([], [])))
    assert REQUIRED_FIELDS <= set(document)
    assert document["kept"] is False


def test_load_has_all_kinds_and_one_crashing_request():
    plan = make_load(HIMAL, duration_ms=20_000.0, seed=1)
    assert {request.kind for request in plan} == set(RequestKind)
    assert sum(request.crashes_upstream for request in plan) == 1
    assert plan == sorted(plan, key=lambda request: request.at_ms)
    without_crashing = make_load(HIMAL, duration_ms=20_000.0, seed=1, crashing=False)
    assert len(without_crashing) == len(plan) - 1


def test_request_ids_of_two_loads_are_distinct():
    first, second = (
        make_load(HIMAL, duration_ms=2000.0, seed=1, name=name, crashing=False)
        for name in ("one", "two")
    )
    ids = {request.request_id for request in first + second}
    assert len(ids) == len(first) + len(second)
