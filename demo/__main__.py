"""Entry point of ``python -m demo``."""

import os
import sys

from cyclopts import App

from demo.run import run_demo

app = App(name="demo", help="Run both deployments through failures.")


@app.default
def main(*, seed: int = 1) -> int:
    """
    Run the demo.

    :param seed: seed of load and failures
    :return: exit status, 0 when every promise was kept
    """
    import uvloop

    return 0 if uvloop.run(run_demo(seed)) else 1


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    sys.exit(app())
