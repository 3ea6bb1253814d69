"""LOST: a host that leaves breaks off a request at which its upstream is at work."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

HOSTS = 3
UPSTREAMS = 6
WORK_S = 0.1  # mean work of a photo-view, spread 0.3
LONG_S = 0.9  # tail 0.03, seven times as long with the same spread, 1.1 s at most
LONG_EVERY = 33
TIMEOUT_S = 1.5  # of the route
BUSY_S = 14.0
BUSY_PER_S = 20.0
QUIET_S = 13.0
QUIET_PER_S = 0.8
GRACE_S = 6.0
GAP_S = 2.0  # roll_term, gap_s


class MixedWork(standins.Upstream):
    """Works long on requests of the path ``/photo/long``."""

    async def respond_by_path(self, fields, writer) -> bool:
        request_id = fields["request-id"]
        spread = 0.7 + 0.6 * int(request_id[:4], 16) / 0xFFFF
        long = fields["path"] == "/photo/long"
        await asyncio.sleep(LONG_S if long else WORK_S * spread)
        head = {
            "Request-Id": request_id,
            standins.SIGNATURE: f"{self.name}.{request_id}",
        }
        return await self.send(writer, 200, head, self.body)


def find_client(site, host) -> str:
    """Find a client whose new connections the balancer gives to a host."""
    names = (f"p{number}" for number in range(1_000))
    return next(name for name in names if site.choose_host(name) is host)


async def play(record, trouble):
    site = standins.Site(record)
    await site.store.start()
    for number in range(UPSTREAMS):
        upstream = MixedWork(f"i-{number}", "desk", store=site.store, record=record)
        upstream.respond = upstream.respond_by_path
        site.upstreams.append(upstream)
        await upstream.start()
    site.configure([standins.route("/photo/", "desk", timeout="1500ms")], ["desk"])
    stopped = []
    tasks = []
    try:
        await site.start(hosts=HOSTS)
        long_ones = asyncio.create_task(
            site.send_for(
                BUSY_S,
                BUSY_PER_S / LONG_EVERY,
                60,
                path="/photo/long",
                deadline_ms=3_000,
            )
        )
        await site.send_for(
            BUSY_S, BUSY_PER_S, 60, path="/photo/short", deadline_ms=3_000
        )
        await long_ones
        record.add("a quiet time begins")
        quiet = asyncio.create_task(
            site.send_for(
                QUIET_S + HOSTS * (GRACE_S + 4 * GAP_S),
                QUIET_PER_S,
                7,
                path="/photo/short",
                deadline_ms=3_000,
            )
        )
        await asyncio.sleep(QUIET_S)
        for host in site.hosts:
            while not all(item.ready for item in site.hosts):
                await asyncio.sleep(0.05)
            client = find_client(site, host)
            request = site.request("/photo/long", client=client, deadline_ms=3_000)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(0.1)
            if trouble:
                stopped.append((host.name, record.now()))
                record.add(f"SIGTERM to {host.name}")
                host.send_signal(signal.SIGTERM)
                await asyncio.to_thread(host.wait, GRACE_S)
                host.start()
                record.add(f"{host.name} is started again")
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
        quiet.cancel()
    finally:
        site.stop()
    ran = {request_id for item in site.upstreams for _, request_id in item.runs}
    return [
        f"{answer.request_id}: {name} took it {at - answer.sent:.2f} s before SIGTERM,"
        f" and answered {answer.status} after {answer.ended - answer.sent:.2f} s"
        for (name, at), answer in zip(stopped, [task.result() for task in tasks])
        if answer.request_id in ran
        and standins.SIGNATURE.lower() not in answer.fields
        and answer.ended - answer.sent < TIMEOUT_S
    ]


sys.exit(standins.run_case(FOLDER, play))
