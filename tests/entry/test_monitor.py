"""Tests of time-outs of attempts, also on hosts whose loop stands still."""

from types import SimpleNamespace
from unittest.mock import Mock

from mangohatch.entry.monitor import CONNECT_TIMEOUT_MS, MAX_LATE_MS, RequestMonitor
from mangohatch.errors import ConnectionSilent, UpstreamUnreachable
from tests.fixtures import ManualClock
from tests.functions import function_tests

load_tests = function_tests(__name__)

TICK_MS = 20.0


class Connecting:
    """A request whose connection is being opened, and the monitor that checks it."""

    def __init__(self):
        self.clock = ManualClock()
        self.errors = []
        self.monitor = RequestMonitor(
            clock=self.clock,
            router=Mock(),
            pool=Mock(),
            events=Mock(),
            may_retry=lambda req: True,
            may_continue=lambda req: True,
            request_retry=lambda req, deliver: deliver(True),
            retry_beside=lambda req, error: False,
        )
        self.monitor.tick(())
        self.monitor._pool.is_dead.return_value = False
        self.request = SimpleNamespace(
            sink=SimpleNamespace(sent=False),
            awaits_head=False,
            silent=False,
            race=None,
            asks_retry=False,
            ask_again_ms=0.0,
            failure=None,
            conn=SimpleNamespace(
                connected=False,
                last_read_ms=self.clock.now_ms(),
                upstream=SimpleNamespace(name="u1"),
            ),
            call=SimpleNamespace(deadline_ms=10_000.0),
            abort_attempt=self.errors.append,
        )

    def pass_time(self, ms):
        self.clock.advance(ms)
        self.monitor.tick((self.request,))

    def pass_ticks(self, ms):
        for _ in range(int(ms / TICK_MS)):
            self.pass_time(TICK_MS)


def test_connection_that_does_not_open_in_time_is_given_up():
    case = Connecting()
    case.pass_ticks(CONNECT_TIMEOUT_MS)
    assert not case.errors
    case.pass_time(TICK_MS)
    assert [type(error) for error in case.errors] == [UpstreamUnreachable]


def test_connection_is_not_given_up_in_the_tick_after_the_loop_stood_still():
    # The upstream may have accepted meanwhile: the loop has not looked yet. The request
    # failed with 503 on a host that had just started, which gets no permit to retry.
    case = Connecting()
    case.pass_time(CONNECT_TIMEOUT_MS + TICK_MS)
    assert not case.errors
    case.pass_ticks(CONNECT_TIMEOUT_MS)
    assert case.errors


def test_host_that_is_always_late_gives_up_in_bounded_time():
    # A starved host must not wait for a dead upstream until the deadline of a request.
    case = Connecting()
    passed_ms = 0.0
    while not case.errors:
        case.pass_time(200.0)
        passed_ms += 200.0
    assert passed_ms <= CONNECT_TIMEOUT_MS + MAX_LATE_MS + 200.0


def test_time_before_the_attempt_does_not_count():
    case = Connecting()
    case.pass_time(CONNECT_TIMEOUT_MS)
    case.request.conn.last_read_ms = case.clock.now_ms()
    case.pass_ticks(CONNECT_TIMEOUT_MS + TICK_MS)
    assert case.errors


def make_silent():
    case = Connecting()
    case.request.awaits_head = True
    case.request.reuses_connection = True
    case.request.silence_limit_ms = 100.0
    case.request.conn.sent_ms = case.clock.now_ms()
    case.request.call.idempotent = True
    return case


def test_connection_is_silent_after_its_limit():
    case = make_silent()
    case.pass_ticks(100.0)
    assert not case.errors
    case.pass_time(TICK_MS)
    assert [type(error) for error in case.errors] == [ConnectionSilent]


def test_connection_is_not_silent_in_the_tick_after_the_loop_stood_still():
    # The response may have arrived meanwhile. The request was sent again, through a
    # peer that had stood still too, and failed with 502.
    case = make_silent()
    case.pass_time(400.0)
    assert not case.errors
    case.pass_ticks(100.0)
    assert case.errors
