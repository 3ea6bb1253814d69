"""Tests of the platform's header fields and response statuses."""

import math
import random
from unittest.mock import patch

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from mangohatch.core.routes import Route, Target
from mangohatch.core.tables import Tables, UpstreamRow
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
from mangohatch.platform import protocol as platform_protocol
from mangohatch.platform.protocol import (
    PlatformProtocol,
    log_unreadable_sign,
    read_probe,
)
from mangohatch.upstream.connection import ResponseHead
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

LINE = RequestStartLine("GET", "/lohu930/2f", "HTTP/1.1")
ID = "9c41d07be2a35f68"
UPSTREAM = UpstreamRow(
    service="desk",
    name="i-1",
    address="10.0.0.1",
    port=8080,
    zone="a",
    slots=2,
    connections=10,
)


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


def read(protocol, status=200, **headers):
    return protocol.read_statement(make_head(status, **headers), UPSTREAM)


def test_load_is_read_with_the_current_slowdown(protocol):
    load = read(protocol, Upstream_Load="1,2,8,400").load
    assert (load.running, load.waiting, load.slots, load.slowdown) == (1, 2, 8, 4.0)
    for text in ("", "1,2", "a,b,c", "1;2;3"):
        assert read(protocol, Upstream_Load=text).load is None, text


def test_misdirected_response_reports_another_process(protocol):
    statement = read(protocol, 421, Server_Leaving="1", Retry_After="2")
    assert statement.replaced
    assert not statement.leaving
    assert statement.pause_ms is None


def test_leaving_is_read_from_answers_of_any_status(protocol):
    for status in (200, 404, 429, 500, 503):
        assert read(protocol, status, Server_Leaving="1").leaving, status
    assert not read(protocol).leaving


def test_unreadable_leaving_says_nothing(protocol):
    for text in ("0", "true", "", "1, 1", "2"):
        assert not read(protocol, Server_Leaving=text).leaving, text


def test_pause_is_read_from_refusals(protocol):
    assert read(protocol, 503, Retry_After="2").pause_ms == 2_000.0
    assert read(protocol, 503, Retry_After="0.3", Not_Executed="1").pause_ms == 300.0
    assert read(protocol, 503).pause_ms is None


def test_unreadable_pause_is_none(protocol):
    for text in ("-1", "0", "0.0", "soon", "", "1, 2", "1e3", "inf", "nan"):
        assert read(protocol, 503, Retry_After=text).pause_ms is None, text
    date = "Fri, 04 Dec 2026 12:00:00 GMT"
    assert read(protocol, 503, Retry_After=date).pause_ms is None
    for status in (200, 429, 500):
        assert read(protocol, status, Retry_After="2").pause_ms is None, status


def test_unreadable_sign_is_logged_once_for_each_value(protocol):
    log_unreadable_sign.cache_clear()
    with patch.object(platform_protocol, "log") as log:
        for _ in range(3):
            read(protocol, Server_Leaving="maybe")
    log.warning.assert_called_once_with(
        "sign_unreadable",
        upstream="i-1",
        field="Server-Leaving",
        value="maybe",
        expected="1",
    )


def test_unknown_field_of_an_upstream_is_logged_once_by_name(protocol):
    platform_protocol.log_unknown_field.cache_clear()
    with patch.object(platform_protocol, "log") as log:
        for value in ("1", "2"):
            read(protocol, Server_Mood=value, Content_Type="text/plain")
    log.warning.assert_called_once_with(
        "field_unknown", field="Server-Mood", treated_as="passed on to the caller"
    )


def test_refusals_are_no_accepted_requests(protocol):
    assert read(protocol).accepted
    assert read(protocol, 500).accepted
    assert not read(protocol, 503).accepted
    assert not read(protocol, 429, Not_Executed="1").accepted


def test_probe_returns_instance_and_health():
    statement, instance = read_probe(
        make_head(503, Upstream_Load="0,0,2,100", Upstream_Instance="i-1")
    )
    assert instance == "i-1"
    assert not statement.load.healthy


def read_limit(protocol, status=200, **headers):
    return read(protocol, status, **headers).limit_per_s


def test_limit_is_read_from_answers(protocol):
    assert read_limit(protocol, Server_Limit="1.25") == 1.25
    assert read_limit(protocol, 503, Server_Limit="2", Not_Executed="1") == 2.0
    assert read_limit(protocol) == math.inf
    assert read_limit(protocol, Server_Limit=".5") == 0.5
    assert read_limit(protocol, Server_Limit="0") == 0.0
    for text in ("few", "-1", "inf", "nan", ""):
        assert read_limit(protocol, Server_Limit=text) is None, text


def test_missing_limit_in_an_error_is_no_news(protocol):
    assert read_limit(protocol, 503, Not_Executed="1") is None
    assert read_limit(protocol, 500) is None
    assert read_limit(protocol, 421, Server_Limit="1") is None
