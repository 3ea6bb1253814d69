"""MIXED: an answer without length that a cut interrupts reaches the client as whole."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

BODY = bytes(range(250)) * 360  # 90,000 bytes, the mean of a download
PIECES = 8
WORK_S = 0.096  # mean work of a download
UPSTREAMS = 20
UNFRAMED_UPSTREAMS = 10  # garble, share 0.5
UNFRAMED_EVERY = 20  # garble, how = unframed, x = 0.05
CUT_UPSTREAMS = 7  # node_cut, how = servers, share 0.35
CUT_S = 2.0  # node_cut, at most 12 s
ROUNDS = 5
CALM_S = 4.0
PER_S = 60.0
LONGEST_S = 110.0


class StreamingUpstream(standins.Upstream):
    """
    Sends its answer in pieces while it works.

    While ``connected`` is not set, it is cut off: what it sends is held up, as behind a
    partition without a reset. It stops work at the deadline that it received, and
    resets the connection if its answer has begun.
    """

    def __init__(self, *args, **fields) -> None:
        super().__init__(*args, **fields)
        self.connected = asyncio.Event()
        self.connected.set()
        self.garbles = False
        self.answered = 0
        self.unframed = 0
        self.unframed_under_way = 0

    async def respond_in_pieces(self, fields, writer) -> bool:
        self.answered += 1
        without = self.garbles and self.answered % UNFRAMED_EVERY == 0
        self.unframed += without
        self.record.add(
            f"server {self.name} answers {fields['request-id']}"
            f" {'without' if without else 'with'} length"
        )
        try:
            async with asyncio.timeout(int(fields["deadline-ms"]) / 1000.0):
                await self.send_pieces(fields["request-id"], writer, without)
        except TimeoutError:
            await self.connected.wait()  # a reset doesn't pass the cut either
            standins.reset(writer)
            return False
        return not without

    async def send_pieces(self, request_id, writer, without) -> None:
        head = self.load() | {
            "Request-Id": request_id,
            standins.SIGNATURE: f"{self.name}.{request_id}",
        }
        if without:
            head["Connection"] = "close"
        else:
            head["Content-Length"] = str(len(BODY))
        size = len(BODY) // PIECES
        begun = False
        try:
            for number in range(PIECES):
                await asyncio.sleep(WORK_S / PIECES)
                await self.connected.wait()
                part = BODY[number * size : (number + 1) * size]
                if not number:
                    part = standins.format_head("HTTP/1.1 200 OK", head) + part
                    begun = True
                    self.unframed_under_way += without
                writer.write(part)
                await writer.drain()
        finally:
            self.unframed_under_way -= begun and without


async def wait_for_unframed(upstreams) -> None:
    """Wait until an answer without length is under way."""
    async with asyncio.timeout(12.0):
        while not any(item.unframed_under_way for item in upstreams):
            await asyncio.sleep(0.002)


async def play(record, trouble):
    site = standins.Site(record)
    await site.store.start()
    for number in range(UPSTREAMS):
        upstream = StreamingUpstream(
            f"i-{number}", "archive", store=site.store, record=record
        )
        upstream.respond = upstream.respond_in_pieces
        upstream.garbles = number < UNFRAMED_UPSTREAMS
        site.upstreams.append(upstream)
        await upstream.start()
    site.configure([standins.route("/files/", "archive", kind="download")], ["archive"])
    rng = random.Random(1)
    try:
        await site.start()
        sending = asyncio.create_task(
            site.send_for(LONGEST_S, PER_S, 60, path="/files/1")
        )
        for _ in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            await wait_for_unframed(site.upstreams)
            by_chance = rng.sample(site.upstreams, len(site.upstreams))
            by_chance.sort(key=lambda item: not item.unframed_under_way)
            cut = by_chance[:CUT_UPSTREAMS]
            if trouble:
                names = " ".join(item.name for item in cut)
                record.add(f"disruption begins: cut off are {names}")
                for item in cut:
                    item.connected.clear()
            await asyncio.sleep(CUT_S)
            for item in cut:
                item.connected.set()
            if trouble:
                record.add("disruption ends")
        await asyncio.sleep(CALM_S)
        site.sending = False
        await sending
    finally:
        site.stop()
    answered = sum(item.answered for item in site.upstreams[:UNFRAMED_UPSTREAMS])
    unframed = sum(item.unframed for item in site.upstreams)
    record.add(f"without length: {unframed} of {answered} answers of the ten upstreams")
    return [
        f"{item.request_id}: status {item.status}, signed, {len(item.body)} of"
        f" {len(BODY)} bytes, complete by its framing"
        for item in site.answers
        if 200 <= item.status < 300
        and standins.SIGNATURE.lower() in item.fields
        and item.complete
        and item.body != BODY
    ]


sys.exit(standins.run_case(FOLDER, play))
