"""Entry point of ``python -m demo``."""

import sys

from cyclopts import App

from demo.run import run_demo
from mangohatch.loop import run_loop

MAX_HOLD_S = 600

app = App(name="demo", help="Run two sites under load and failures.")


@app.default
def main(*, seed: int = 1, hold: int = 0) -> int:
    """
    Run the demo and print its results.

    :param seed: seed of the load and of random behaviour
    :param hold: seconds to keep the sites up afterwards, at most 600
    :return: exit status, 0 if the run passed, otherwise 1
    """
    return 0 if run_loop(run_demo(seed, min(hold, MAX_HOLD_S))) else 1


if __name__ == "__main__":
    sys.exit(app())
