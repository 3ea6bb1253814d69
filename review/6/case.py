"""Two upstreams end while one host is suspended; requests at the other hosts hang."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from site2 import (  # noqa: E402
    CannotRun,
    Site,
    Upstream,
    ZONES,
    make_config,
    make_route,
    now,
    request,
    run_case,
)

HOSTS = 4
UPSTREAMS = 14
CRASHED = 2  # of 14, a share of 0.14
FREEZE_S = 5.0
CRASH_S = 3.0
CRASHES_AT_S = (0.05, 0.5)  # after the host was suspended
REST_S = 4.0
ROUNDS = 6
TIMEOUT_MS = {"read": 800, "write": 1000}
DEADLINE_MS = {"read": 1500, "write": 2000}
LATE_MS = 500
RATE_PER_S = 40.0  # of each host


async def load(site: Site, host, answers: list, rng: random.Random, end_s: float):
    tasks = []
    while now() < end_s:
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
        kind = "write" if rng.random() < 0.3 else "read"
        tasks.append(
            asyncio.create_task(
                request(
                    host,
                    site.record,
                    kind=kind,
                    path=f"/{kind}/{rng.getrandbits(32):x}",
                    method="POST" if kind == "write" else "GET",
                    body=b"x" * 400 if kind == "write" else b"",
                    deadline_ms=DEADLINE_MS[kind],
                )
            )
        )
    answers += await asyncio.gather(*tasks)


async def crash(site: Site, ended: list[Upstream], at_s: float) -> None:
    await asyncio.sleep(at_s)
    for upstream in ended:
        site.record.write(f"{upstream.name} crashes")
        upstream.end()
    await asyncio.sleep(CRASH_S)
    for upstream in ended:
        site.record.write(f"{upstream.name} is back")
        await upstream.start()
        upstream.register(site.store)


async def disturb(site: Site) -> None:
    frozen = site.hosts[1]
    for number in range(ROUNDS):
        site.record.write(f"{frozen.name} is suspended")
        frozen.signal(signal.SIGSTOP)
        crashes = []
        for step, at_s in enumerate(CRASHES_AT_S):
            first = CRASHED * (len(CRASHES_AT_S) * number + step)
            ended = [
                site.upstreams[(first + item) % UPSTREAMS] for item in range(CRASHED)
            ]
            crashes.append(asyncio.create_task(crash(site, ended, at_s)))
        await asyncio.sleep(FREEZE_S)
        site.record.write(f"{frozen.name} runs again")
        frozen.signal(signal.SIGCONT)
        await asyncio.gather(*crashes)
        await asyncio.sleep(REST_S)


async def case(record, trouble: bool) -> bool:
    rng = random.Random(6)
    site = Site(hosts=HOSTS, record=record)
    for number in range(UPSTREAMS):
        site.upstreams.append(
            Upstream(
                name=f"i-{number:04x}",
                service="shop",
                zone=ZONES[number % 3],
                record=record,
                work_s=0.06,
            )
        )
    config = make_config(
        1,
        ["shop"],
        [
            make_route("reads", "/read/", "shop", "safe", "800ms"),
            make_route("writes", "/write/", "shop", "unsafe", "1000ms"),
        ],
    )
    answers: list = []
    try:
        await site.start(config)
        await asyncio.sleep(4.0)
        length_s = 4.0 + ROUNDS * (FREEZE_S + REST_S)
        # Only hosts that are never suspended get requests; they are in touch throughout.
        hosts = [host for host in site.hosts if host is not site.hosts[1]]
        loads = [
            asyncio.create_task(load(site, host, answers, rng, now() + length_s))
            for host in hosts
        ]
        await asyncio.sleep(3.0)
        if trouble:
            await disturb(site)
        await asyncio.gather(*loads)
    finally:
        await site.stop()
    served = sum(answer.status == 200 for answer in answers)
    if served < 0.5 * len(answers):
        raise CannotRun(f"only {served} of {len(answers)} requests were served")
    last = [item for item in answers if item.took_ms > TIMEOUT_MS[item.kind]]
    open_ = [
        item
        for item in last
        if not item.status and item.took_ms > TIMEOUT_MS[item.kind] + LATE_MS - 1
    ]
    late = [
        item
        for item in last
        if item.status and item.took_ms > TIMEOUT_MS[item.kind] + LATE_MS
    ]
    unanswered = len(open_) + len(late)
    broken = unanswered >= 8 and unanswered > len(last) / 4
    text = (
        f"{len(answers)} requests, {served} served; {len(last)} lasted longer than the"
        f" timeout of their route, {unanswered} of these had no final answer 0.5 s later"
        f" ({len(open_)} none at all): CONFIG {'broken' if broken else 'held'}"
    )
    record.write(text)
    print(text)
    return not broken


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
