"""Tests of connections that hosts relay for each other, on real sockets."""

import asyncio

from mangohatch.core.health.table import HealthState
from mangohatch.peer.codec import decode_body, decode_envelope
from mangohatch.peer.messages.membership import Ping
from mangohatch.peer.messages.relay import RelayAnswer, RelayRequest
from mangohatch.relay.stream import LENGTH_BYTES, make_frame
from tests.fleet.cut_site import Cut, open_cut_site
from tests.functions import function_tests

load_tests = function_tests(__name__)

BODY_BYTES = 3_000_000


async def read_answer(reader):
    outer = await reader.readexactly(LENGTH_BYTES)
    frame = await reader.readexactly(int.from_bytes(outer, "big"))
    answer = decode_body(decode_envelope(frame[LENGTH_BYTES:]))
    assert isinstance(answer, RelayAnswer)
    return answer


async def expect_closed(site, data, *, source="127.0.0.1"):
    reader, writer = await site.connect_to_relay("h1", source=source)
    writer.write(data)
    async with asyncio.timeout(5.0):
        assert await reader.read() == b""
    writer.close()


async def test_frames_that_are_no_request_end_their_connection_only():
    async with open_cut_site(hosts=2) as site:
        member = site.hosts["h0"]
        source = member.cfg.peers[0]
        ping = member.bus.encode(Ping())
        request = member.bus.encode(RelayRequest(upstream="i-0"))
        for data in (
            b"\x00\x00\x00\x00",
            b"\xff\xff\xff\xff",
            b"GET / HTTP/1.1\r\n\r\n",
            make_frame(b"\x00" * 40),
            make_frame(ping),
            make_frame(request)[:-5],
        ):
            await expect_closed(site, data, source=source)
        assert site.hosts["h1"].relay_server.refused >= 4
        assert await site.count_served("h1", 5) == 5


async def test_request_from_an_address_that_is_no_member_is_refused():
    async with open_cut_site(hosts=2) as site:
        request = RelayRequest(service_name="desk", upstream="i-0")
        forged = make_frame(site.hosts["h0"].bus.encode(request))
        await expect_closed(site, forged)
        assert site.hosts["h1"].relay_server.refused == 1
        assert site.hosts["h1"].relay_server.relayed == 0


async def test_address_that_is_no_upstream_is_refused():
    async with open_cut_site(hosts=2) as site:
        member = site.hosts["h0"]
        store = RelayRequest(
            service_name="desk",
            upstream="i-0",
            address="127.0.0.1",
            port=site.site.store.port,
            started_ms=1.0,
        )
        reader, writer = await site.connect_to_relay("h1", source=member.cfg.peers[0])
        writer.write(make_frame(member.bus.encode(store)))
        assert (await read_answer(reader)).refusal == "unknown_upstream"
        writer.close()


async def test_long_bodies_pass_whole_in_both_directions():
    async with open_cut_site(hosts=2) as site:
        site.firewall.cut("h0", Cut.RESET)
        for upstream in site.site.upstreams:
            upstream.echoes = True
        body = bytes(range(251)) * (BODY_BYTES // 251)
        response = await site.send("h0", "/b/1", method="POST", body=body)
        assert (response.status, response.body) == (200, body)
        assert site.hosts["h0"].relays.opened


async def test_upstream_sees_that_the_caller_of_a_relayed_request_has_left():
    async with open_cut_site(hosts=2, work_s=30.0) as site:
        site.firewall.cut("h0", Cut.RESET)
        request = asyncio.create_task(site.send("h0", "/a/1"))
        relays = site.hosts["h1"].relay_server
        requests = [upstream.requests for upstream in site.site.upstreams]
        await site.wait_until(lambda: any(requests))
        request.cancel()
        await site.wait_until(lambda: relays.active <= count_idle(site))


def count_idle(site):
    host = site.hosts["h0"]
    probes = [conn for conn in host.probe._conns.values() if conn.relay]
    pools = [pool for pool in host.pool._pools.values()]
    return len(probes) + sum(len(pool.idle) for pool in pools)


async def test_relays_end_with_the_cut():
    async with open_cut_site() as site:
        host = site.hosts["h0"]
        site.firewall.cut("h0", Cut.RESET)
        assert await site.count_served("h0", 20) == 20
        assert host.relays.opened
        site.firewall.heal("h0")
        await site.wait_until(
            lambda: not any(host.paths.is_lost(row) for row in host.tables.upstreams())
        )
        await site.wait_until(
            lambda: not any(item.relay_server.active for item in site.hosts.values())
        )
        opened = host.relays.opened
        assert await site.count_served("h0", 20) == 20
        assert host.relays.opened == opened


async def test_failures_of_a_cut_host_eject_no_upstream():
    async with open_cut_site() as site:
        host = site.hosts["h0"]
        assert await site.count_served("h0", 20) == 20
        site.firewall.cut("h0", Cut.HANG)
        await site.count_served("h0", 40)
        states = [
            row.state
            for rows in host.health.table.rows.values()
            for row in rows.values()
        ]
        assert set(states) == {HealthState.HEALTHY}


async def test_another_peer_relays_when_the_first_one_leaves():
    async with open_cut_site(hosts=3) as site:
        site.firewall.cut("h0", Cut.RESET)
        assert await site.count_served("h0", 20) == 20
        site.leave("h1")
        served = 0
        while not site.tasks["h1"].done():
            served += await site.count_served("h0", 1) - 1
        assert served == 0
        assert await site.count_served("h0", 20) == 20


async def test_host_whose_peers_are_cut_off_too_says_that_nothing_has_run():
    async with open_cut_site(hosts=2) as site:
        for host_id in site.hosts:
            site.firewall.cut(host_id, Cut.RESET)
        await site.send("h0", "/b/1", method="POST")
        response = await site.send("h0", "/b/2", method="POST")
        assert response.status == 503
        site.firewall.heal("h1")
        await asyncio.sleep(1.5)
        assert await site.count_served("h0", 10) == 10
