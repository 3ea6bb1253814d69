"""Measures operator orders and questions with 3, 8 and 17 entry host processes."""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from cyclopts import App

from mangohatch.admin.client import fetch_reply
from mangohatch.admin.reply import Reply
from standins.fleet import EntryChild, Fleet
from standins.http_json import fetch_json
from standins.platform import Platform
from standins.sites import ServiceSize, Site
from standins.upstream import Behaviour

SIZES = (3, 8, 17)
ORDERS = 40
RACES = 10
QUESTIONS = 40
SETTLE_S = 3.0
RETRY_S = 0.2
RECOVERY_TIMEOUT_S = 30.0
MS_PER_S = 1000.0
APPLY_TARGET_MS = 6000.0
SERVICE = "booking-desk"
RESULTS = Path(__file__).resolve().parent.parent / "results" / "orders.json"
SITE = Site(
    name="bench",
    region="bagmati",
    zones=("bagmati-a", "bagmati-b", "bagmati-c"),
    desk=ServiceSize(name=SERVICE, upstreams=2, slots=2, connections=50),
    archive=ServiceSize(name="media-vault", upstreams=1, slots=2, connections=50),
)

app = App(help=__doc__)


async def send_sentence(entry: EntryChild, text: str) -> tuple[Reply, float]:
    """
    Send a sentence to the operator API of an entry host.

    :param entry: entry host to send to
    :param text: sentence in the operators' language
    :return: reply, and its round-trip time in milliseconds
    """
    started_s = time.perf_counter()
    reply = await fetch_reply(f"{entry.admin[0]}:{entry.admin[1]}", text)
    return reply, (time.perf_counter() - started_s) * MS_PER_S


def read_state(reply: Reply) -> str:
    """
    Return the outcome of an order.

    :param reply: reply to the order
    :return: state of the order, or the code of the error
    """
    if reply.order is not None:
        return reply.order.state
    return reply.error.code if reply.error is not None else "no order"


def summarize(taken_ms: list[float]) -> dict[str, float]:
    """
    Summarize durations.

    :param taken_ms: durations in milliseconds
    :return: count, median and maximum
    """
    ordered = sorted(taken_ms)
    return {
        "count": len(ordered),
        "p50_ms": round(ordered[len(ordered) // 2], 1),
        "max_ms": round(ordered[-1], 1),
    }


async def run_orders(fleet: Fleet) -> dict[str, Any]:
    """
    Send orders sequentially, and read the value from all hosts after each.

    :param fleet: running processes
    :return: figures; ``reverted`` counts hosts that do not show the ordered value
    """
    taken_ms, states, reverted = [], [], 0
    for number in range(ORDERS):
        value = 5000 + number
        entry = fleet.entries[number % len(fleet.entries)]
        reply, took_ms = await send_sentence(
            entry, f"set deadline_ms of {SERVICE} to {value}"
        )
        taken_ms.append(took_ms)
        states.append(read_state(reply))
        seen, _ = await send_sentence(entry, f"show config of {SERVICE}")
        values = [row["config"]["deadline_ms"] for row in seen.rows]
        reverted += sum(seen_value != value for seen_value in values)
        reverted += len(fleet.entries) - len(values)
    accepted = states.count("accepted")
    return summarize(taken_ms) | {"accepted": accepted, "reverted": reverted}


async def run_races(fleet: Fleet) -> dict[str, Any]:
    """
    Send pairs of conflicting orders concurrently through two hosts.

    :param fleet: running processes
    :return: number of races by outcome
    """
    one_accepted, both_accepted, both_refused = 0, 0, 0
    for number in range(RACES):
        pair = fleet.entries[0], fleet.entries[1 + number % (len(fleet.entries) - 1)]
        answers = await asyncio.gather(
            *(
                send_sentence(
                    entry, f"set deadline_ms of {SERVICE} to {6000 + 2 * number + side}"
                )
                for side, entry in enumerate(pair)
            )
        )
        states = sorted(read_state(reply) for reply, _ in answers)
        one_accepted += states == ["accepted", "refused"]
        revisions = {reply.order.revision for reply, _ in answers if reply.order}
        both_accepted += states == ["accepted"] * 2 and len(revisions) == 2
        both_refused += states == ["refused", "refused"]
    return {
        "count": RACES,
        "one_won": one_accepted,
        "accepted_one_after_the_other": both_accepted,
        "both_refused": both_refused,
    }


async def run_outage(fleet: Fleet) -> dict[str, Any]:
    """
    Send an order and a question during an outage of the store.

    :param fleet: running processes
    :return: replies and their durations in milliseconds
    """
    port = fleet.platform.object_api[1]
    await set_outage(port, on=True)
    order, order_ms = await send_sentence(
        fleet.entries[0], f"drain upstream u of {SERVICE}"
    )
    question, question_ms = await send_sentence(fleet.entries[0], "show services")
    await set_outage(port, on=False)
    return {
        "order": order.order.code if order.order else read_state(order),
        "order_ms": round(order_ms, 1),
        "question_rows": len(question.rows),
        "question_ms": round(question_ms, 1),
    }


async def set_outage(port: int, *, on: bool) -> None:
    """
    Start or end an outage of the store.

    :param port: port of the object API
    :param on: whether the store is unavailable
    """
    body = json.dumps({"outage": on})
    await fetch_json(port, "/faults", method="PUT", body=body)


async def run_host_crash(fleet: Fleet) -> dict[str, Any]:
    """
    Kill a host and send orders until one is accepted again.

    :param fleet: running processes
    :return: outcomes of the orders, and seconds until one was accepted
    """
    killed_host = fleet.entries.pop()
    await killed_host.child.kill()
    started_s = time.perf_counter()
    states: list[str] = []
    number = 0
    while time.perf_counter() - started_s < RECOVERY_TIMEOUT_S:
        number += 1
        text = f"set deadline_ms of {SERVICE} to {9000 + number}"
        reply, _ = await send_sentence(fleet.entries[0], text)
        states.append(read_state(reply))
        if states[-1] == "accepted":
            break
        await asyncio.sleep(RETRY_S)
    took_s = time.perf_counter() - started_s
    return {"answers": states, "accepted_again_s": round(took_s, 2)}


async def run_size(size: int, folder: Path) -> dict[str, Any]:
    """
    Measure a fleet of one size.

    :param size: number of entry hosts
    :param folder: folder for settings and logs
    :return: figures by name
    """
    platform = Platform(folder=folder)
    fleet = Fleet(site=SITE, folder=folder, seed=1, platform=platform)
    try:
        await platform.start()
        await fleet.start_upstreams(Behaviour())
        await fleet.declare_services()
        for _ in range(size):
            await fleet.start_entry()
        await asyncio.sleep(SETTLE_S)
        load = os.getloadavg()[0]
        orders = await run_orders(fleet)
        replies = [
            await send_sentence(fleet.entries[0], "show hosts")
            for _ in range(QUESTIONS)
        ]
        return {
            "hosts": size,
            "load_average": load,
            "orders": orders,
            "questions": summarize([took_ms for _, took_ms in replies]),
            "races": await run_races(fleet),
            "outage": await run_outage(fleet),
            "death": await run_host_crash(fleet),
        }
    finally:
        await fleet.stop()
        await platform.stop()


@app.default
def main(*, size: list[int] | None = None, out: Path = RESULTS) -> int:
    """
    Run the benchmark.

    :param size: fleet sizes in entry hosts
    :param out: file for the results
    :return: exit status, 1 if an order was refused, reverted or slow, or a race failed
    """
    rows = []
    for count in size or SIZES:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(asyncio.run(run_size(count, Path(folder))))
        print(json.dumps(rows[-1]))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    failed = any(
        row["orders"]["reverted"]
        or row["races"]["one_won"] + row["races"]["accepted_one_after_the_other"]
        < RACES
        or row["orders"]["accepted"] < ORDERS
        or row["orders"]["max_ms"] > APPLY_TARGET_MS
        for row in rows
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
