"""Entry point of a host on the platform."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from mangohatch.errors import MangohatchError, SettingsError
from mangohatch.fleet.placement import Placement
from mangohatch.fleet.settings_file import SettingsFile
from mangohatch.held_signals import held
from mangohatch.log import configure_logging
from mangohatch.loop import run_loop
from mangohatch.platform.environment import apply_environment
from mangohatch.platform.host import make_host
from mangohatch.platform.settings import (
    HEDGE_RATIO_VARIABLE,
    SETTINGS_VARIABLE,
    load_fleet_settings,
)

__all__ = ["main"]


def main(arguments: Sequence[str]) -> int:
    """
    Run a host until SIGTERM or SIGINT.

    :param arguments: command-line arguments: the placement policy, or none for the
        default, ``expected-time``
    :return: exit status of the process
    """
    configure_logging(to_stdout=True)
    try:
        placement = Placement(arguments[0] if arguments else Placement.EXPECTED_TIME)
        path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
        load = partial(
            load_fleet_settings, hedge_ratio=os.environ.get(HEDGE_RATIO_VARIABLE, "")
        )
        cfg = apply_environment(load(path), os.environ)
    except ValueError as exc:
        print(f"mangohatch: {exc}", file=sys.stderr)
        return SettingsError.exit_code
    except MangohatchError as exc:
        print(f"mangohatch: {exc}", file=sys.stderr)
        return exc.exit_code

    async def serve() -> None:
        leaving = asyncio.Event()
        loop = asyncio.get_running_loop()
        host = make_host(cfg=cfg, placement=placement)
        settings = SettingsFile(path=path, read=load)
        handlers = {
            signal.SIGTERM: leaving.set,
            signal.SIGINT: leaving.set,
            signal.SIGHUP: settings.request_reload,
        }
        held.deliver(loop, handlers)
        await host.run(leaving, settings)

    run_loop(serve())
    return 0
