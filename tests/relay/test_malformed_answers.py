"""Tests of answers that are not valid HTTP and reach a host through a peer."""

from standins.malformed_answers import (
    list_framed_interims,
    list_malformed_names,
    list_malformed_statuses,
)
from tests.entry.harness import fixed
from tests.fleet.cut_site import Cut, open_cut_site
from tests.functions import function_tests

load_tests = function_tests(__name__)

FORGED_BODY = b"forged"


def make_fault(list_answers, name):
    def fault(fields):
        named = {key.replace("-", "_"): text for key, text in fields.items()}
        return list_answers(fields, fixed(FORGED_BODY, **named))[name]

    return fault


async def check_relayed(list_answers):
    """Check that no malformed answer reaches the caller of a host that is cut off."""
    async with open_cut_site(hosts=2, upstreams=1) as site:
        site.firewall.cut("h0", Cut.RESET)
        assert await site.count_served("h0", 5) == 5
        (upstream,) = site.site.upstreams
        for name in list_answers({}, b""):
            upstream.faults = make_fault(list_answers, name)
            before = len(upstream.requests)
            response = await site.send("h0", "/b/1", method="POST")
            assert response.status == 502, (name, response)
            assert FORGED_BODY not in response.body, name
            assert len(upstream.requests) == before + 1, name
        assert site.hosts["h0"].relays.opened


async def test_status_that_is_none_of_http_is_no_answer_through_a_peer():
    await check_relayed(list_malformed_statuses)


async def test_field_name_that_is_no_token_is_no_answer_through_a_peer():
    await check_relayed(list_malformed_names)


async def test_interim_response_with_a_body_is_no_answer_through_a_peer():
    await check_relayed(list_framed_interims)
