"""Real hosts with an upstream in trouble, whose answers are not valid HTTP."""

from standins.host_processes import MalformedUpstream
from standins.malformed_answers import (
    list_framed_interims,
    list_malformed_names,
    list_malformed_statuses,
)
from tests.functions import function_tests
from tests.soak.deployment import SERVICE, UNSAFE, open_deployment

load_tests = function_tests(__name__)

HOSTS = 3
SOUND = 3
ROUNDS = 12
REQUESTS = 9  # of a round and a route
MIN_SENT = 6


async def play(list_answers, **faults):
    """Check what callers get while one upstream of four is in trouble."""
    async with open_deployment() as site:
        for number in range(SOUND):
            await site.add_upstream(f"i-{number}")
        await site.start(HOSTS)
        await site.send(10 * REQUESTS)  # earns retries
        faulty = await site.add_upstream(
            "i-faulty",
            MalformedUpstream,
            list_answers=list_answers,
            **faults,
        )
        safe, unsafe = [], []
        for _ in range(ROUNDS):
            unsafe += await site.send(REQUESTS, UNSAFE)
            safe += await site.send(REQUESTS)
        print(f"{faulty.sent.total()} malformed answers")
        assert faulty.sent.total() >= MIN_SENT
        assert {answer.status for answer in safe} == {200}
        assert {answer.status for answer in unsafe} <= {200, 502}
        served = [answer for answer in safe + unsafe if answer.status == 200]
        assert {answer.service for answer in served} == {SERVICE}


async def test_answers_with_a_status_that_is_none_of_http():
    await play(list_malformed_statuses)


async def test_answers_with_a_field_name_that_is_no_token():
    await play(list_malformed_names)


async def test_health_checks_answered_with_a_status_that_is_none_of_http():
    await play(list_malformed_statuses, checks_too=True)


async def test_health_checks_answered_with_a_field_name_that_is_no_token():
    await play(list_malformed_names, checks_too=True)


async def test_answers_after_an_interim_response_with_a_body():
    await play(list_framed_interims)


async def test_health_checks_answered_after_an_interim_response_with_a_body():
    await play(list_framed_interims, checks_too=True)


async def test_answers_that_are_malformed_at_times():
    await play(list_malformed_statuses, one_in=3)
