"""Entry point of ``python -m standins.upstream``."""

import asyncio
import json
import os

from cyclopts import App

from mangohatch.clock import SystemClock
from standins.upstream.behaviour import Behaviour
from standins.upstream.server import Upstream

app = App(name="standins.upstream", help="Run stand-in upstreams in one process.")


async def serve(ports: range, seed: int, behaviour: Behaviour) -> None:
    """
    Serve until killed.

    :param ports: TCP ports on loopback, an upstream for each
    :param seed: seed of the first upstream; the others count on from it
    :param behaviour: behaviour at start
    """
    clock = SystemClock()
    for number, port in enumerate(ports):
        upstream = Upstream(
            name=f"u{port}", seed=seed + number, clock=clock, behaviour=behaviour
        )
        upstream.listen(port)
    print(f"ready {ports.start} {len(ports)}", flush=True)
    await asyncio.Event().wait()


@app.default
def main(*, port: int, count: int = 1, seed: int = 1, behaviour: str = "{}") -> None:
    """
    Run upstreams on consecutive ports.

    :param port: first TCP port on loopback
    :param count: number of upstreams
    :param seed: seed of the slow-downs
    :param behaviour: JSON object with settings of the behaviour
    """
    import uvloop

    checked = Behaviour.model_validate(json.loads(behaviour))
    uvloop.run(serve(range(port, port + count), seed, checked))


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    app()
