"""Entry point of ``python -m standins.upstream``."""

import asyncio
import json

from cyclopts import App

from mangohatch.clock import SystemClock
from mangohatch.loop import run_loop
from standins.upstream.behaviour import Behaviour
from standins.upstream.server import Upstream

app = App(name="standins.upstream", help="Run stand-in upstreams in one process.")


async def serve(port: int, count: int, seed: int, behaviour: Behaviour) -> None:
    """
    Serve until killed; print the ports once all upstreams accept connections.

    :param port: first TCP port on loopback, 0 for free ports
    :param count: number of upstreams
    :param seed: seed of the first upstream; each further upstream adds 1
    :param behaviour: initial behaviour of all upstreams
    """
    clock = SystemClock()
    ports = []
    for number in range(count):
        upstream = Upstream(
            name=f"u{number + 1}",
            seed=seed + number,
            clock=clock,
            behaviour=behaviour,
        )
        ports.append(upstream.listen(port + number if port else 0))
    print("ready", *ports, flush=True)
    await asyncio.Event().wait()


@app.default
def main(*, port: int, count: int = 1, seed: int = 1, behaviour: str = "{}") -> None:
    """
    Run upstreams on consecutive ports.

    :param port: first TCP port on loopback, 0 for free ports
    :param count: number of upstreams
    :param seed: seed of the slowdowns
    :param behaviour: JSON object with settings of the behaviour
    """
    checked = Behaviour.model_validate(json.loads(behaviour))
    run_loop(serve(port, count, seed, checked))


if __name__ == "__main__":
    app()
