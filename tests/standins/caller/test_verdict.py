"""Tests that each violation of a guarantee is detected."""

from tornado.httputil import HTTPHeaders

from standins.caller import (
    Attempt,
    AttemptResult,
    Costs,
    PlannedRequest,
    Record,
    RequestKind,
    evaluate,
)
from standins.caller.caller import classify
from standins.caller.connection import Reply
from standins.upstream.content import answer_body, download_bytes
from tests.functions import function_tests

load_tests = function_tests(__name__)

SIZE = 10_000


def make_request(kind=RequestKind.LOOKUP, **changes):
    values = dict(
        request_id="r1",
        kind=kind,
        at_ms=0.0,
        path="/desk/r1",
        work_ms=1.0,
        deadline_ms=1000.0,
    )
    return PlannedRequest(**(values | changes))


def make_record(kind, *results):
    attempts = [
        Attempt(number=number, entry_port=1, result=result)
        for number, result in enumerate(results, 1)
    ]
    return Record(request=make_request(kind), latency_ms=5.0, attempts=attempts)


def make_ledger(*attempts, calls=0):
    runs = {"r1": {"method": "POST", "attempts": list(attempts)}} if attempts else {}
    return {"runs": runs, "measuring_calls": calls, "measuring_bytes": 10 * calls}


def classify_body(body, **changes):
    reply = Reply(status=200, headers=HTTPHeaders(), chunks=[body])
    return classify(make_request(**changes), reply)


def test_run_without_violations_passes():
    record = make_record(RequestKind.KEYED, AttemptResult.DONE)
    verdict = evaluate([record], [make_ledger("1", calls=3), make_ledger()])
    assert verdict.passed
    assert verdict.p50_ms == 5.0
    assert verdict.measuring_calls_per_request == 3.0


def test_costs_of_entry_hosts_are_added_to_those_seen_by_upstreams():
    record = make_record(RequestKind.LOOKUP, AttemptResult.DONE)
    costs = Costs(measuring_calls=2.0, measuring_bytes=50.0, store_calls=1.0)
    verdict = evaluate([record], [make_ledger("1", calls=3)], costs=costs)
    assert verdict.measuring_calls_per_request == 5.0
    assert verdict.measuring_bytes_per_request == 80.0
    assert verdict.store_calls_per_request == 1.0


def test_work_on_a_drained_upstream_is_a_violation():
    record = make_record(RequestKind.LOOKUP, AttemptResult.DONE)
    assert not evaluate([record], [make_ledger("1")], worked_after_drain=1).passed


def test_request_that_crashes_more_than_three_upstreams_is_a_violation():
    results = [AttemptResult.BROKEN] * 4
    record = make_record(RequestKind.LOOKUP, *results)
    record.request = make_request(crashes_upstream=True)
    three_crashes = evaluate([record], [make_ledger("1"), make_ledger("2", "3")])
    assert (three_crashes.crashes_per_request, three_crashes.passed) == (3, True)
    four_crashes = evaluate([record], [make_ledger("1", "2"), make_ledger("3", "4")])
    assert (four_crashes.crashes_per_request, four_crashes.passed) == (4, False)


def test_run_without_requests_does_not_pass():
    assert not evaluate([], []).passed


def test_lookup_without_an_answer_is_lost():
    for result in (AttemptResult.NOT_RUN, AttemptResult.BROKEN, AttemptResult.FAILED):
        verdict = evaluate([make_record(RequestKind.LOOKUP, result)], [])
        assert (verdict.lost, verdict.passed) == (1, False)


def test_silence_past_the_deadline_is_lost_even_if_a_resend_succeeds():
    results = (AttemptResult.SILENT, AttemptResult.DONE)
    verdict = evaluate([make_record(RequestKind.KEYED, *results)], [make_ledger("2")])
    assert (verdict.lost, verdict.passed) == (1, False)


def test_confirmation_of_unknown_outcome_is_reported_and_not_lost():
    verdict = evaluate([make_record(RequestKind.UNKEYED, AttemptResult.UNKNOWN)], [])
    assert (verdict.lost, verdict.unknown, verdict.passed) == (0, 1, True)


def test_two_runs_of_a_confirmation_on_two_upstreams_are_doubled():
    record = make_record(RequestKind.KEYED, AttemptResult.BROKEN, AttemptResult.DONE)
    verdict = evaluate([record], [make_ledger("1"), make_ledger("2")])
    assert (verdict.doubled, verdict.passed) == (1, False)


def test_two_runs_of_a_lookup_are_no_violation():
    record = make_record(RequestKind.LOOKUP, AttemptResult.DONE)
    assert evaluate([record], [make_ledger("1", "1")]).passed


def test_run_that_was_reported_as_not_run_is_a_violation():
    results = (AttemptResult.NOT_RUN, AttemptResult.DONE)
    record = make_record(RequestKind.UNKEYED, *results)
    assert evaluate([record], [make_ledger("2")]).passed
    verdict = evaluate([record], [make_ledger("1")])
    assert (verdict.false_not_run, verdict.passed) == (1, False)


def test_answer_to_another_request_is_mixed():
    other = answer_body("r2", "/desk/r2", "u1", 0)
    assert classify_body(other) is AttemptResult.MIXED
    own = answer_body("r1", "/desk/r1", "u1", 0)
    assert classify_body(own) is AttemptResult.DONE
    verdict = evaluate([make_record(RequestKind.LOOKUP, AttemptResult.MIXED)], [])
    assert (verdict.mixed, verdict.passed) == (1, False)


def test_part_of_a_download_is_truncated_and_spliced_ones_are_mixed():
    whole = download_bytes("/desk/r1", 1, 0, SIZE)
    spliced = whole[:5000] + download_bytes("/desk/r1", 2, 5000, SIZE)
    results = [
        classify_body(body, kind=RequestKind.DOWNLOAD, download_bytes=SIZE)
        for body in (whole, whole[:5000], spliced)
    ]
    assert results == [
        AttemptResult.DONE,
        AttemptResult.TRUNCATED,
        AttemptResult.MIXED,
    ]
    verdict = evaluate([make_record(RequestKind.DOWNLOAD, AttemptResult.TRUNCATED)], [])
    assert (verdict.truncated, verdict.passed) == (1, False)
