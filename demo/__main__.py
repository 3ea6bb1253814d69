"""Entry point of ``python -m demo``."""

import sys

from cyclopts import App

from demo.run import run_demo
from mangohatch.loop import run_loop

app = App(name="demo", help="Run both deployments through failures.")


@app.default
def main(*, seed: int = 1) -> int:
    """
    Run the demo.

    :param seed: seed of load and failures
    :return: exit status, 0 when every promise was kept
    """
    return 0 if run_loop(run_demo(seed)) else 1


if __name__ == "__main__":
    sys.exit(app())
