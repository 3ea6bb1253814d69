"""Tests that the committed reference pages match the generated ones."""

from mangohatch.config import HostSettings
from mangohatch.errors import Overloaded
from mangohatch.timeline.event import EventKind
from tests.functions import function_tests
from tooling.reference import PAGES

load_tests = function_tests(__name__)


def test_committed_pages_match_the_generated_ones():
    for page in PAGES:
        committed = page.path.read_text(encoding="utf-8")
        assert (
            committed == page.render()
        ), f"{page.name} is out of date: run make reference"


def test_pages_list_fields_codes_and_options():
    texts = {page.name: page.render() for page in PAGES}
    for field in HostSettings.model_fields:
        assert f"`{field}`" in texts["settings"]
    assert f"`{Overloaded.code}`" in texts["errors"]
    assert f"`{EventKind.HOST_STARTED}`" in texts["events"]
    assert "--order-id" in texts["command-line"]
