"""Tests of the parser of the operators' language."""

from hypothesis import given, settings, strategies as st

from mangohatch.errors import SentenceError
from mangohatch.language import (
    AddUpstream,
    Condition,
    DeclareService,
    DrainUpstream,
    ExplainRequest,
    Operator,
    ReleaseRequest,
    RemoveUpstream,
    SetField,
    ShowEvents,
    ShowRows,
    Subject,
    parse,
)
from tests.functions import function_tests

load_tests = function_tests(__name__)

EXAMPLES = 300
DRAINING = Condition(field="state", operator=Operator.EQUAL, value="draining")
SENTENCES = {
    "show services": ShowRows(subject=Subject.SERVICES),
    "show hosts": ShowRows(subject=Subject.HOSTS),
    "show upstreams of booking-desk where state = draining": ShowRows(
        subject=Subject.UPSTREAMS, service="booking-desk", conditions=(DRAINING,)
    ),
    "show upstreams where state = draining and in_flight >= 1": ShowRows(
        subject=Subject.UPSTREAMS,
        conditions=(
            DRAINING,
            Condition(field="in_flight", operator=Operator.AT_LEAST, value="1"),
        ),
    ),
    "show config of media-vault": ShowRows(
        subject=Subject.CONFIG, service="media-vault"
    ),
    "show events of request r-1": ShowEvents(request="r-1"),
    "show events of upstream u1 of service s since 10s limit 5": ShowEvents(
        upstream="u1", service="s", since_ms=10_000.0, limit=5
    ),
    "show events since 250ms": ShowEvents(since_ms=250.0),
    "explain request r/1:2": ExplainRequest(request="r/1:2"),
    "drain upstream u1 of s": DrainUpstream(service="s", upstream="u1", draining=True),
    "undrain upstream of of to": DrainUpstream(
        service="to", upstream="of", draining=False
    ),
    "set measuring.calls_per_second of s to 12.5": SetField(
        service="s", field="measuring.calls_per_second", value="12.5"
    ),
    'set path_prefix of s to "/misa"': SetField(
        service="s", field="path_prefix", value="/misa"
    ),
    "add upstream u9 to s at 10.0.0.1:80 in puno with 4 slots": AddUpstream(
        service="s", upstream="u9", address="10.0.0.1", port=80, zone="puno", slots=4
    ),
    "remove upstream u9 of s": RemoveUpstream(service="s", upstream="u9"),
    'declare service {"name":\n"s"}': DeclareService(json='{"name":\n"s"}'),
    "release request ab12 of s": ReleaseRequest(service="s", fingerprint="ab12"),
}
INVALID_SENTENCES = {
    "shwo upstreams": ("shwo", "show"),
    "show upstreams off s": ("off", "of"),
    "show upstreams of s where colour = red": ("colour", "state"),
    "set deadline of s to 3": ("deadline", "deadline_ms"),
    "set name of s to t": ("name", "deadline_ms"),
    "drain upstreamu1 of s": ("upstreamu1", "upstream"),
    "show events of kind lightning": ("lightning", "request_slow"),
    "add upstream u to s at 10.0.0.1:99999 in z": ("10.0.0.1:99999", ""),
    "show events of request a of request b": ("request b", ""),
    "show hosts now": ("now", "the end"),
    "show": ("", "upstreams"),
    "drain upstream u1": ("", "of"),
    "": ("", "show"),
}


def test_valid_sentences_are_parsed():
    for text, sentence in SENTENCES.items():
        assert parse(text) == sentence, text


def test_error_points_at_the_invalid_word():
    for text, (word, expected) in INVALID_SENTENCES.items():
        try:
            parsed = parse(text)
        except SentenceError as exc:
            assert text[exc.position :].startswith(word), (text, exc.position)
            assert bool(word) == (exc.position < len(text)), text
            assert not expected or expected in exc.expected, (text, exc.expected)
        else:
            raise AssertionError(f"accepted {text!r} as {parsed}")


def test_caret_points_at_the_invalid_word_in_a_multiline_sentence():
    try:
        parse("show upstreams\n  off s")
    except SentenceError as exc:
        lines = str(exc).splitlines()
        assert lines[1].index("off") == lines[2].index("^")
    else:
        raise AssertionError("accepted a misspelt word")


def test_any_text_gives_a_sentence_or_an_error_within_it():
    words = st.sampled_from(
        sorted({word for text in SENTENCES for word in text.split()})
    )

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(st.lists(words, max_size=9).map(" ".join) | st.text(max_size=40))
    def check(text):
        try:
            parse(text)
        except SentenceError as exc:
            assert 0 <= exc.position <= len(text)

    check()
