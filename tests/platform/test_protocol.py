"""Tests of the platform's header fields and response statuses."""

import random

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

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
from mangohatch.platform.protocol import PlatformProtocol
from mangohatch.upstream.response import ResponseHead
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

LINE = RequestStartLine("GET", "/lohu930/2f", "HTTP/1.1")
ID = "9c41d07be2a35f68"


@fixture
def protocol():
    return PlatformProtocol(rng=random.Random(1))


@fixture
def tables():
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


def make_call(protocol, tables, **headers):
    fields = {"Host": "ficu95.example"} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    return protocol.make_call(
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


def error_type(function, *args, **fields):
    try:
        function(*args, **fields)
    except RequestError as exc:
        return type(exc)
    return None


def test_deadline_is_the_earlier_of_header_and_route_timeout(protocol, tables):
    assert make_call(protocol, tables, Deadline_Ms="500").deadline_ms == 1500.0
    assert make_call(protocol, tables, Deadline_Ms="5000").deadline_ms == 1800.0
    assert make_call(protocol, tables).deadline_ms == 1800.0
    assert error_type(make_call, protocol, tables, Deadline_Ms="soon") is BadRequest


def test_call_takes_the_settings_of_its_route(protocol, tables):
    call = make_call(protocol, tables)
    assert (call.service, call.priority, call.max_attempts) == ("desk", 2, 2)
    assert call.objective_ms == 1300.0


def test_unknown_path_differs_from_missing_configuration(protocol, tables):
    assert error_type(make_call, protocol, tables, Host="other.example") is NoRoute
    assert error_type(make_call, protocol, Tables()) is NoConfiguration


def test_error_status_matches_the_outcome(protocol):
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
        response = protocol.make_error(error, ID)
        assert response.status == status, (error, outcome)
        assert ("Retry-After" in response.headers) is (status == 503)


def test_retry_after_keeps_fractions_of_a_second(protocol):
    error = Overloaded("x", retry_after_ms=120.0)
    error.outcome = Outcome.NOT_RUN
    assert protocol.make_error(error, ID).headers["Retry-After"] == "0.120"


def test_response_is_matched_by_request_id(protocol):
    assert protocol.matches_request(make_head(Request_Id=ID), ID)
    assert not protocol.matches_request(make_head(Request_Id="other"), ID)


def test_success_without_signature_id_or_plain_body_is_rejected(protocol):
    valid = {"Request_Id": ID, "Upstream_Signature": "s"}
    assert error_type(protocol.check_response, make_head(**valid)) is None
    for name in valid:
        rest = {key: value for key, value in valid.items() if key != name}
        assert error_type(protocol.check_response, make_head(**rest)) is UpstreamFailed
    encoded = make_head(**valid, Content_Encoding="gzip")
    assert error_type(protocol.check_response, encoded) is UpstreamFailed
    assert error_type(protocol.check_response, make_head(500)) is None


def test_upstream_reports_that_a_request_has_not_run(protocol):
    assert protocol.is_not_run(make_head(503, Not_Executed="1"))
    assert protocol.is_not_run(make_head(421))
    assert not protocol.is_not_run(make_head(503))
    assert not protocol.is_not_run(make_head(500))
