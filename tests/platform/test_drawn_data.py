"""Tests of decoders with drawn data: nothing but a typed error leaves them."""

import json
from contextlib import suppress

from hypothesis import given, settings, strategies as st
from tornado.httputil import HTTPHeaders, ResponseStartLine

from mangohatch.errors import PeerProtocolError
from mangohatch.peer.codec import decode_body, decode_envelope, encode
from mangohatch.peer.messages import KINDS
from mangohatch.platform.documents import read_configuration
from mangohatch.platform.entries import normalize_upstream, read_upstream
from mangohatch.platform.listing import decode_page
from mangohatch.platform.source import encode_configuration
from mangohatch.platform.statement import read_probe
from mangohatch.platform.values import DocumentError
from mangohatch.upstream.response import ResponseHead
from tests.functions import function_tests
from tests.platform.site import configuration, route
from tests.platform.test_foreign_entries import FIELDS, SOUND

load_tests = function_tests(__name__)

DRAWN = settings(max_examples=200, derandomize=True, deadline=None, database=None)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | st.text(st.characters(), max_size=8)
    | st.sampled_from(("ready", "draining", "10.0.0.1:80", "1s", "1e999s", "r1"))
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)
HEADER_TEXTS = st.text(st.characters(max_codepoint=255), max_size=12) | st.from_regex(
    r"[-0-9., ]{0,20}", fullmatch=True
)
SIGNS = ("Upstream-Load", "Server-Limit", "Server-Leaving", "Retry-After", "Cold-Ms")


def put(document, path, value):
    """Replace one value of a copied document, or remove it."""
    copied = json.loads(json.dumps(document))
    owner = copied
    for key in path[:-1]:
        owner = owner[key]
    owner[path[-1]] = value
    return copied


def list_paths(value, path=()):
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in pairs:
        yield (*path, key)
        if isinstance(inner, (dict, list)):
            yield from list_paths(inner, (*path, key))


CONFIGURATION = configuration(3, route("r1", "/a/"), route("r2", "/b/"))
CONFIGURATION_PATHS = tuple(list_paths(CONFIGURATION))


def test_drawn_entries_are_read_or_rejected():
    @DRAWN
    @given(st.sampled_from(FIELDS), VALUES, st.booleans())
    def check(path, value, follow_cold):
        with suppress(DocumentError):
            text = normalize_upstream(
                put(SOUND, path, value),
                wall_ms=0.0,
                previous_json=None,
                follow_cold=follow_cold,
            )
            read_upstream("i-1", text)

    check()


def test_drawn_texts_of_peers_are_read_or_rejected():
    sound = normalize_upstream(SOUND, wall_ms=0.0, previous_json=None)

    @DRAWN
    @given(st.sampled_from(tuple(json.loads(sound))), VALUES)
    def check(key, value):
        text = json.dumps(json.loads(sound) | {key: value})
        with suppress(DocumentError):
            read_upstream("i-1", text)
        with suppress(DocumentError):
            normalize_upstream(SOUND, wall_ms=0.0, previous_json=text)

    check()


def test_drawn_pages_are_read_or_rejected():
    page = {"items": [SOUND], "has_more": False, "store_revision": 3}

    @DRAWN
    @given(st.binary(max_size=40), VALUES, st.integers(0, 200), st.integers(0, 200))
    def check(data, value, start, end):
        whole = json.dumps(page | {"items": [value, {"metadata": value}]}).encode()
        for body in (data, whole, whole[:start] + data + whole[end:]):
            with suppress(DocumentError):
                decode_page("servers", body)

    check()


def test_drawn_configurations_are_read_or_rejected():
    @DRAWN
    @given(st.sampled_from(CONFIGURATION_PATHS), VALUES)
    def check(path, value):
        document = put(CONFIGURATION, path, value)
        for follow_cold in (False, True):
            with suppress(DocumentError):
                read_configuration(
                    encode_configuration(document), follow_cold=follow_cold
                )

    check()


def test_drawn_signs_of_upstreams_are_read():
    @DRAWN
    @given(st.sampled_from(SIGNS), HEADER_TEXTS, st.integers(100, 599))
    def check(name, text, code):
        headers = HTTPHeaders()
        headers[name] = text.replace("\r", "").replace("\n", "").replace("\0", "")
        line = ResponseStartLine("HTTP/1.1", code, "X")
        read_probe(ResponseHead(line=line, headers=headers), follow_cold=True)

    check()


def test_drawn_frames_of_peers_are_read_or_rejected():
    frames = [
        encode(kind(), sender="h1", incarnation=1, time_ms=1.0, count=0)
        for kind in KINDS.values()
        if kind.__name__ != "Envelope" and not kind.__annotations__.get("required")
    ]

    @DRAWN
    @given(st.sampled_from(frames), st.binary(max_size=12), st.data())
    def check(frame, data, draw):
        start = draw.draw(st.integers(0, len(frame)))
        end = draw.draw(st.integers(start, len(frame)))
        for body in (data, frame[:start] + data + frame[end:]):
            with suppress(PeerProtocolError):
                decode_body(decode_envelope(body))

    check()
