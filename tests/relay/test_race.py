"""Tests of attempts of which the first to succeed counts."""

import asyncio
import socket

from tornado.iostream import IOStream

from mangohatch.relay.dialer import Race
from mangohatch.upstream.dialer import OpenedStream
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def test_stream_of_an_attempt_that_succeeds_beside_the_winner_is_closed():
    pairs = [socket.socketpair() for _ in range(2)]
    opened = [OpenedStream(stream=IOStream(near)) for near, _ in pairs]
    race = Race()

    async def attempt(number):
        return opened[number]

    for number in range(len(opened)):
        race.start(attempt(number))
    await asyncio.sleep(0)
    ended = await race.wait(1.0)
    assert len(ended) == len(opened)
    winner = race.win(ended[0][0])
    await race.cancel()
    assert [item.stream.closed() for item in opened] == [
        item is not winner for item in opened
    ]
    for _, far in pairs:
        far.close()
