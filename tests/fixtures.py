"""Fixtures available to all tests."""

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
    Create a service specification with upstreams ``u1``, ``u2`` and so on.

    :param name: name of the service, from which its path prefix is derived
    :param upstreams: number of upstreams
    :param slots: number of slots of each upstream
    :return: the validated specification
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
    Provide a manual clock at 0 ms.

    :return: the clock
    """
    return ManualClock()


@fixture
def rng() -> random.Random:
    """
    Provide a random number generator with a fixed seed.

    :return: the generator
    """
    return random.Random(SEED)


@fixture
def tables(clock: ManualClock) -> Tables:
    """
    Provide tables with one service of three upstreams.

    :return: the tables
    """
    instance = Tables()
    instance.apply(make_service(), revision=1)
    return instance


@fixture
def loop():
    """
    Provide an event loop in virtual time.

    :return: the loop
    """
    instance = VirtualLoop()
    yield instance
    instance.shutdown()


@fixture
def objects() -> ObjectTable:
    """
    Provide an empty object table.

    :return: the table
    """
    return ObjectTable()


@fixture
def store(objects: ObjectTable, rng: random.Random) -> MemoryStore:
    """
    Provide a store client of the object table.

    :return: the client
    """
    return MemoryStore(table=objects, rng=rng)
