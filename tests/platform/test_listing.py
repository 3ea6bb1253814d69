"""Tests of the metadata of objects in the platform's store."""

from mangohatch.platform.listing import decode_object
from tests.functions import function_tests

load_tests = function_tests(__name__)


def decode(**metadata):
    fields = {"name": "i-1", "revision": 412} | metadata
    return decode_object("servers", {"metadata": fields, "spec": {}})


def test_revision_of_the_creation_is_read():
    assert decode(created=9).created == 9
    assert decode(created=412).created == 412


def test_what_is_no_earlier_revision_is_left_out():
    for created in (None, "9", True, 1.5, -1, 413, 1_700_000_000_000):
        assert decode(created=created).created is None, created
    assert decode().created is None
