"""Tests of the platform's header fields and statuses."""

import random

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from mangohatch.core.call import Report, Result
from mangohatch.core.routes import Route, Target
from mangohatch.core.tables import Tables
from mangohatch.errors import (
    BadRequest,
    BodyTooLarge,
    DeadlineExceeded,
    NoConfiguration,
    NoRoute,
    NoUpstream,
    Outcome,
    Overloaded,
    RequestError,
    UpstreamAborted,
    UpstreamFailed,
)
from mangohatch.platform.dialect import PlatformDialect, read_probe
from mangohatch.upstream.connection import ResponseHead
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

LINE = RequestStartLine("GET", "/lohu930/2f", "HTTP/1.1")
ID = "9c41d07be2a35f68"


@fixture
def dialect():
    return PlatformDialect(rng=random.Random(1))


@fixture
def routed():
    tables = Tables()
    route = Route(
        name="r",
        host="ficu95.example",
        prefix="/lohu930/",
        targets=(Target(service="desk"),),
        idempotent=True,
        timeout_ms=800.0,
        objective_ms=300.0,
        priority=2,
        max_attempts=2,
    )
    tables.routes.apply((route,), revision=1)
    return tables


def make_call(dialect, tables, **headers):
    fields = {"Host": "ficu95.example"} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    return dialect.make_call(
        line=LINE,
        headers=HTTPHeaders(fields),
        request_id=ID,
        caller="10.9.0.1",
        tables=tables,
        now_ms=1000.0,
    )


def make_head(status=200, **headers):
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    line = ResponseStartLine("HTTP/1.1", status, "X")
    return ResponseHead(line=line, headers=HTTPHeaders(fields))


def raised(function, *args, **fields):
    try:
        function(*args, **fields)
    except RequestError as exc:
        return type(exc)
    return None


def test_time_of_a_request_ends_with_the_shorter_of_deadline_and_timeout(
    dialect, routed
):
    assert make_call(dialect, routed, Deadline_Ms="500").deadline_ms == 1500.0
    assert make_call(dialect, routed, Deadline_Ms="5000").deadline_ms == 1800.0
    assert make_call(dialect, routed).deadline_ms == 1800.0
    assert raised(make_call, dialect, routed, Deadline_Ms="soon") is BadRequest


def test_call_carries_the_terms_of_its_route(dialect, routed):
    call = make_call(dialect, routed)
    assert (call.service, call.priority, call.max_attempts) == ("desk", 2, 2)
    assert call.objective_ms == 1300.0


def test_unknown_path_is_told_from_unknown_configuration(dialect, routed):
    assert raised(make_call, dialect, routed, Host="other.example") is NoRoute
    assert raised(make_call, dialect, Tables()) is NoConfiguration


def test_statuses_promise_only_what_is_true(dialect):
    cases = (
        (Overloaded("x"), Outcome.NOT_RUN, 503),
        (NoUpstream("x"), Outcome.NOT_RUN, 503),
        (NoConfiguration("x"), Outcome.NOT_RUN, 503),
        (DeadlineExceeded("x"), Outcome.NOT_RUN, 503),
        (DeadlineExceeded("x"), Outcome.UNKNOWN, 504),
        (UpstreamAborted("x"), Outcome.UNKNOWN, 502),
        (Overloaded("x"), Outcome.UNKNOWN, 502),
        (NoRoute("x"), Outcome.NOT_RUN, 404),
        (BodyTooLarge("x"), Outcome.NOT_RUN, 413),
        (BodyTooLarge("x"), Outcome.UNKNOWN, 502),
    )
    for error, outcome, status in cases:
        error.outcome = outcome
        answer = dialect.make_error(error, ID)
        assert answer.status == status, (error, outcome)
        assert ("Retry-After" in answer.headers) is (status == 503)


def test_time_to_come_back_keeps_its_fraction(dialect):
    error = Overloaded("x", retry_after_ms=120.0)
    error.outcome = Outcome.NOT_RUN
    assert dialect.make_error(error, ID).headers["Retry-After"] == "0.120"


def test_responses_are_told_apart_by_their_request(dialect):
    assert dialect.matches_request(make_head(Request_Id=ID), ID)
    assert not dialect.matches_request(make_head(Request_Id="other"), ID)


def test_success_without_signature_id_or_plain_body_is_no_answer(dialect):
    whole = {"Request_Id": ID, "Upstream_Signature": "s"}
    assert raised(dialect.check_response, make_head(**whole)) is None
    for name in whole:
        rest = {key: value for key, value in whole.items() if key != name}
        assert raised(dialect.check_response, make_head(**rest)) is UpstreamFailed
    coded = make_head(**whole, Content_Encoding="gzip")
    assert raised(dialect.check_response, coded) is UpstreamFailed
    assert raised(dialect.check_response, make_head(500)) is None


def test_upstream_says_when_it_has_not_run_a_request(dialect):
    assert dialect.is_not_run(make_head(503, Not_Executed="1"))
    assert dialect.is_not_run(make_head(421))
    assert not dialect.is_not_run(make_head(503))
    assert not dialect.is_not_run(make_head(500))


def test_load_is_read_with_the_speed_of_the_moment(dialect):
    report = Report(result=Result.OK, latency_ms=1.0)
    dialect.read_upstream_state(make_head(Upstream_Load="1,2,8,400"), report)
    load = report.load
    assert (load.running, load.waiting, load.slots, load.slowdown) == (1, 2, 8, 4.0)
    for text in ("", "1,2", "a,b,c", "1;2;3"):
        report.load = None
        dialect.read_upstream_state(make_head(Upstream_Load=text), report)
        assert report.load is None, text


def test_address_of_another_upstream_ends_new_work(dialect):
    report = Report(result=Result.REFUSED, latency_ms=1.0)
    dialect.read_upstream_state(make_head(421), report)
    assert report.draining


def test_probe_tells_instance_and_health():
    load, instance = read_probe(
        make_head(503, Upstream_Load="0,0,2,100", Upstream_Instance="i-1")
    )
    assert instance == "i-1"
    assert not load.healthy
