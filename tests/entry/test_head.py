"""Tests of the strict parsing of request heads."""

from hypothesis import given, settings, strategies

from mangohatch.entry.head import MAX_HEAD_BYTES, parse_head
from mangohatch.errors import BadRequest
from tests.functions import function_tests

load_tests = function_tests(__name__)

REFUSED = {
    "conflicting lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n",
    "equal lengths": b"Content-Length: 3\r\nContent-Length: 3\r\n",
    "list of lengths": b"Content-Length: 3, 3\r\n",
    "signed length": b"Content-Length: +3\r\n",
    "hexadecimal length": b"Content-Length: 0x3\r\n",
    "huge length": b"Content-Length: 9999999999999999999\r\n",
    "length and coding": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two codings": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "list of codings": b"Transfer-Encoding: gzip, chunked\r\n",
    "unknown coding": b"Transfer-Encoding: xchunked\r\n",
    "disguised coding": b"Transfer-Encoding: chunked\x0b\r\n",
    "folded field": b"X-A: b\r\n c\r\n",
    "space before colon": b"Content-Length : 3\r\n",
    "empty name": b": b\r\n",
    "name with brackets": b"X(a): b\r\n",
    "no colon": b"X-A\r\n",
    "bare line feed": b"X-A: b\nContent-Length: 3\r\n",
    "bare carriage return": b"X-A: b\rContent-Length: 3\r\n",
    "null in value": b"X-A: \x00\r\n",
    "second host": b"Host: other\r\n",
    "unknown expectation": b"Expect: 200-ok\r\n",
}
LINES = {
    "no version": b"GET /a",
    "HTTP/2": b"GET /a HTTP/2.0",
    "HTTP/1.2": b"GET /a HTTP/1.2",
    "two spaces": b"GET  /a HTTP/1.1",
    "absolute form": b"GET http://h/a HTTP/1.1",
    "asterisk": b"OPTIONS * HTTP/1.1",
    "authority form": b"CONNECT h:80 HTTP/1.1",
    "trace": b"TRACE /a HTTP/1.1",
    "fragment": b"GET /a#b HTTP/1.1",
    "control character": b"GET /a\x01 HTTP/1.1",
    "dot segment": b"GET /a/../b HTTP/1.1",
    "escaped dot segment": b"GET /a/%2e%2E/b HTTP/1.1",
    "escaped slash": b"GET /a%2Fb HTTP/1.1",
    "backslash": b"GET /a\\b HTTP/1.1",
    "empty segment": b"GET /a//b HTTP/1.1",
    "broken escape": b"GET /a%zz HTTP/1.1",
    "long target": b"GET /" + b"a" * 9000 + b" HTTP/1.1",
    "bad method": b"G(T /a HTTP/1.1",
}


def refusal(data: bytes) -> BadRequest | None:
    try:
        parse_head(data)
    except BadRequest as exc:
        return exc
    return None


def test_ambiguous_fields_are_refused():
    for name, fields in REFUSED.items():
        error = refusal(b"POST /a HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\n")
        assert error is not None, name
        assert error.outcome == "not_run", name


def test_malformed_lines_are_refused():
    for name, line in LINES.items():
        error = refusal(line + b"\r\nHost: h\r\n\r\n")
        assert error is not None, name


def test_host_is_required():
    assert refusal(b"GET /a HTTP/1.1\r\n\r\n") is not None
    assert refusal(b"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n") is not None
    assert refusal(b"GET /a HTTP/1.0\r\n\r\n") is None


def test_each_refusal_has_its_status():
    cases = {
        b"TRACE /a HTTP/1.1\r\nHost: h\r\n\r\n": 405,
        b"GET /a HTTP/1.2\r\nHost: h\r\n\r\n": 505,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n": 501,
        b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n": 417,
        b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: h\r\n\r\n": 414,
        b"GET /a HTTP/1.1\r\nX: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n": 431,
    }
    for data, status in cases.items():
        assert refusal(data).status == status, data[:60]


def test_ordinary_heads_pass():
    head = (
        b"POST /a/b%20c?q=%2F..//x HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
        b"Transfer-Encoding: Chunked\r\nExpect: 100-continue\r\n\r\n"
    )
    line, headers = parse_head(head)
    assert line.method == "POST"
    assert headers["Host"] == "10.0.0.1:80"


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(strategies.binary(max_size=200))
def test_any_bytes_parse_or_are_refused(noise):
    refusal(b"POST /a HTTP/1.1\r\nHost: h\r\n" + noise + b"\r\n\r\n")
    refusal(noise + b"\r\n\r\n")
