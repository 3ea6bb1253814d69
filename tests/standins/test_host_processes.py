"""Tests of the stand-in that starts hosts as processes."""

import signal
import tempfile
from pathlib import Path
from unittest import mock

from standins.host_processes import FleetStore, HostProcess, start_hosts
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def test_hosts_that_were_started_end_if_another_one_cannot_be_started():
    started = []
    start = HostProcess.start

    async def start_first(host):
        if started:
            raise OSError("no process can be started")
        await start(host)
        started.append(host)

    store = FleetStore()
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(HostProcess, "start", start_first),
    ):
        try:
            await start_hosts(count=2, store=store, folder=Path(folder))
        except OSError:
            assert started and not started[0].running
        else:
            raise AssertionError("the failure was not passed on")
        finally:
            store.close()
            for host in started:
                host.send_signal(signal.SIGKILL)
                await host.wait()
