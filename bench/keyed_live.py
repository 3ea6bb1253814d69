"""Benchmark of copies of keyed requests through several entry hosts with store faults.

Run ``python -m bench.keyed_live``; it exits with status 1 if a key ran twice or got
two different answers. The result is written to bench/results/keyed_live.json.
"""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from cyclopts import App
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.fleet import EntryChild, Fleet
from standins.http_json import fetch_json
from standins.platform import Platform
from standins.sites import HIMAL
from standins.upstream import Behaviour

__all__ = ["measure"]

RESULT = Path(__file__).resolve().parent / "results" / "keyed_live.json"
ENTRY_HOSTS = 4
KEYS = 300
BATCH_SIZE = 10
WORK_MS = 20
RESEND_AFTER_S = 0.2
SETTLE_S = 3.0
TIMEOUT_S = 8.0
OK = 200

app = App(name="bench.keyed_live", help="Send copies of keyed requests.")


@dataclass(slots=True, kw_only=True)
class CopyResults:
    """Responses to all copies: counts by outcome, and the distinct bodies by key."""

    responses: Counter[str] = field(default_factory=Counter)
    bodies: dict[str, set[bytes]] = field(default_factory=dict)


async def send_copy(
    client: SimpleAsyncHTTPClient, entry: EntryChild, key: str, results: CopyResults
) -> None:
    """
    Send one copy of a keyed request.

    :param client: HTTP client of the caller
    :param entry: entry host to send to
    :param key: idempotency key
    :param results: receives the response
    """
    req = HTTPRequest(
        f"http://{entry.entry[0]}:{entry.entry[1]}/{HIMAL.desk.name}/book"
        f"?work_ms={WORK_MS}&id={key}",
        method="POST",
        body=key,
        headers={"Idempotency-Key": key},
        request_timeout=TIMEOUT_S,
    )
    try:
        answer = await client.fetch(req, raise_error=False)
    except OSError as exc:
        results.responses[type(exc).__name__] += 1
        return
    outcome = answer.headers.get("X-Outcome", "")
    code = answer.headers.get("X-Error-Code", "")
    results.responses[f"{answer.code} {outcome} {code}".strip()] += 1
    if answer.code == OK:
        results.bodies.setdefault(key, set()).add(answer.body)


async def send_key(
    client: SimpleAsyncHTTPClient,
    fleet: Fleet,
    key: str,
    rng: random.Random,
    results: CopyResults,
) -> None:
    """
    Send two copies concurrently and a third later, each through another entry host.

    :param client: HTTP client of the caller
    :param fleet: running processes
    :param key: idempotency key
    :param rng: random source for the choice of hosts
    :param results: receives the responses
    """
    entry_1, entry_2, entry_3 = rng.sample(fleet.entries, 3)
    await asyncio.gather(
        send_copy(client, entry_1, key, results),
        send_copy(client, entry_2, key, results),
    )
    await asyncio.sleep(RESEND_AFTER_S)
    await send_copy(client, entry_3, key, results)


async def run_batches(fleet: Fleet, seed: int, results: CopyResults) -> None:
    """
    Send all keys in batches while the store fails and one host is killed.

    In each batch the store loses one answer or refuses one write. The host is killed
    during the middle batch.

    :param fleet: running processes
    :param seed: seed of the choice of hosts and faults
    :param results: receives the responses
    """
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=3 * BATCH_SIZE)
    rng = random.Random(seed)
    port = fleet.platform.object_api[1]
    for first in range(0, KEYS, BATCH_SIZE):
        fault = rng.choice(("lost_answers", "refused_writes"))
        body = json.dumps({fault: 1})
        await fetch_json(port, "/faults", method="PUT", body=body)
        work = [
            send_key(client, fleet, f"key-{number}", rng, results)
            for number in range(first, first + BATCH_SIZE)
        ]
        if first == KEYS // 2:
            victim = fleet.entries.pop(0)
            work.append(victim.child.kill())
        await asyncio.gather(*work)
    client.close()


async def measure(seed: int, folder: Path) -> dict[str, object]:
    """
    Run the benchmark once.

    :param seed: seed of the stand-ins and of the choice of hosts and faults
    :param folder: folder for settings and logs
    :return: results by name
    """
    platform = Platform(folder=folder)
    fleet = Fleet(site=HIMAL, folder=folder, seed=seed, platform=platform)
    results = CopyResults()
    try:
        await platform.start()
        await fleet.start_upstreams(Behaviour())
        await fleet.declare_services()
        for _ in range(ENTRY_HOSTS):
            await fleet.start_entry()
        await asyncio.sleep(SETTLE_S)
        await run_batches(fleet, seed, results)
        runs: Counter[str] = Counter()
        for ledger in await fleet.read_ledgers():
            for key, run in ledger["runs"].items():
                runs[key] += len(run["attempts"])
    finally:
        await fleet.stop()
    return {
        "seed": seed,
        "keys": KEYS,
        "copies": sum(results.responses.values()),
        "keys_run": len(runs),
        "keys_run_twice": sum(count > 1 for count in runs.values()),
        "keys_with_two_answers": sum(len(seen) > 1 for seen in results.bodies.values()),
        "heard": dict(results.responses.most_common()),
    }


@app.default
def main(*, seed: int = 1, out: Path = RESULT) -> int:
    """
    Run the benchmark.

    :param seed: seed of the stand-ins and of the choice of hosts and faults
    :param out: file for the results
    :return: exit status, 1 if a key ran twice or got two different answers
    """
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(measure(seed, Path(folder)))
    text = json.dumps(result, indent=2) + "\n"
    print(text)
    out.write_text(text, encoding="utf-8")
    return 1 if result["keys_run_twice"] or result["keys_with_two_answers"] else 0


if __name__ == "__main__":
    sys.exit(app())
