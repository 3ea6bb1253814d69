"""Real hosts beside entries of another writer in the list of upstreams."""

import asyncio
from urllib.parse import unquote

from standins.host_processes import FleetStore
from tests.functions import function_tests
from tests.soak.deployment import SERVICE, open_deployment

load_tests = function_tests(__name__)

HOSTS = 3
UPSTREAMS = 6
REQUESTS = 30
DRAIN_S = 2.0
RETURN_S = 3.0  # time after a disruption of the store until changes are on time
PAGE_BYTES = 20_000
# Each of these entries fills a page by itself. The upstreams sort between them.
NAMES = (
    "i-0&x",
    "i-0+x",
    "i-1#x",
    "i-1%x",
    "i-2 x",
    "i-2%2Bx",
    "i-3&after=i-9",
    "i-3?x/y=z",
    "i-4 & + # %",
    "i-4%",
    "i-5león",
    "i-9&+#% ",
)
MARKS = ("&", "+", "#", "%", " ", "%2B", "%20", "é", "e\u0301", "É", "/")
FOREIGN = {"info": {"service": SERVICE}, "padding": "x" * PAGE_BYTES}


async def play(*, names=NAMES, spec=FOREIGN, lost_share=0.0, **parts):
    """Check that all hosts serve before and after a restart, and follow changes."""
    store = FleetStore(**{"page_bytes": PAGE_BYTES} | parts)
    store.lost_share = lost_share
    for name in names:
        for kind in ("servers", "config"):
            store.put(kind, name, spec)
    async with open_deployment(store) as site:
        for number in range(UPSTREAMS):
            await site.add_upstream(f"i-{number}")
        await site.start(HOSTS)
        answers = await site.send(REQUESTS)
        await site.restart()
        answers += await site.send(REQUESTS)
        assert {answer.status for answer in answers} == {200}
        store.lost_share = 0.0
        await asyncio.sleep(RETURN_S)
        first = site.upstreams[0]
        leaving = asyncio.create_task(first.leave(silently=False, served_s=5.0))
        await asyncio.sleep(DRAIN_S)
        site.runs.clear()
        answers = await site.send(REQUESTS)
        assert {answer.status for answer in answers} == {200}
        assert len(site.runs) == REQUESTS
        assert not [run for run in site.runs if run[2] is first]
        leaving.cancel()


async def test_entries_that_fill_a_page_each():
    await play()


async def test_entries_that_fill_a_page_each_at_a_store_that_keeps_plus_signs():
    await play(decode=unquote)


async def test_small_entries_on_pages_of_one_object():
    await play(page_size=1, spec={})


async def test_pages_of_500_objects_beside_lost_answers():
    # The names differ in what some encoding takes for the same character.
    others = [f"i-{number % 6}{mark}{number}" for number, mark in enumerate(MARKS * 80)]
    names = [*NAMES, *others]
    await play(names=names, spec={}, page_bytes=1_048_576, lost_share=0.2)
