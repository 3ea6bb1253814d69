"""Fixtures shared by all tests."""

import random

from mangohatch.clock import ManualClock
from mangohatch.config import ServiceSpec, UpstreamSpec
from mangohatch.core.tables import Tables
from standins.memory_store import MemoryStore
from standins.objects import ObjectTable
from standins.virtual_loop import VirtualLoop
from tests.functions import fixture

__all__ = ["make_service"]

SEED = 1


def make_service(
    name: str = "tablero-misa", *, upstreams: int = 3, slots: int = 2
) -> ServiceSpec:
    """
    Make a service with upstreams ``u1``, ``u2`` and so on.

    :param name: name of the service, also its path prefix
    :param upstreams: number of upstreams
    :param slots: slots of each upstream
    :return: the checked specification
    """
    return ServiceSpec(
        name=name,
        path_prefix=f"/{name}",
        upstreams=tuple(
            UpstreamSpec(
                name=f"u{number}",
                address="127.0.0.1",
                port=20_000 + number,
                zone="puno",
                slots=slots,
            )
            for number in range(1, upstreams + 1)
        ),
    )


@fixture
def clock() -> ManualClock:
    """
    A clock at 0 ms.

    :return: the clock
    """
    return ManualClock()


@fixture
def rng() -> random.Random:
    """
    A seeded source of random numbers.

    :return: the generator
    """
    return random.Random(SEED)


@fixture
def tables(clock: ManualClock) -> Tables:
    """
    Tables with one service of three upstreams.

    :return: the tables
    """
    instance = Tables()
    instance.apply(make_service(), revision=1)
    return instance


@fixture
def loop():
    """
    An event loop in virtual time.

    :return: the loop
    """
    instance = VirtualLoop()
    yield instance
    instance.shutdown()


@fixture
def objects() -> ObjectTable:
    """
    An empty object table.

    :return: the table
    """
    return ObjectTable()


@fixture
def store(objects: ObjectTable, rng: random.Random) -> MemoryStore:
    """
    A client of the object table.

    :return: the client
    """
    return MemoryStore(table=objects, rng=rng)
