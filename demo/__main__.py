"""Entry point of ``python -m demo``."""

import sys

from cyclopts import App

from demo.run import run_demo
from mangohatch.loop import run_loop

MAX_HOLD_S = 600

app = App(name="demo", help="Run both deployments through failures.")


@app.default
def main(*, seed: int = 1, hold: int = 0) -> int:
    """
    Run the demo.

    :param seed: seed of load and failures
    :param hold: seconds to stay up afterwards, at most 600
    :return: exit status, 0 when every promise was kept
    """
    return 0 if run_loop(run_demo(seed, min(hold, MAX_HOLD_S))) else 1


if __name__ == "__main__":
    sys.exit(app())
