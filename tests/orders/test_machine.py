"""Random order histories, and planted faults that the state machine must detect."""

from mangohatch.errors import OrderStoreUnavailable, StoreConflict, StoreWriteUnknown
from mangohatch.orders.service import OrderService
from mangohatch.orders.writer import OrderWriter
from tests.functions import function_tests
from tests.orders.machine import OrderMachine
from tests.peer.membership.machine import run_machine

load_tests = function_tests(__name__)

EXAMPLES = 15
STEPS = 25
FAULT_EXAMPLES = 80


def find_failure(order_type):
    class Faulty(OrderMachine):
        pass

    Faulty.order_type = order_type
    try:
        run_machine(Faulty, examples=FAULT_EXAMPLES, steps=STEPS)
    except Exception as exc:
        return " ".join(str(one) for one in unfold(exc))
    return ""


def unfold(exc):
    yield exc
    for one in getattr(exc, "exceptions", ()):
        yield from unfold(one)


class FaultyWriterService(OrderService):
    """Order service whose writer can be replaced by a faulty one."""

    writer_type = OrderWriter

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._writer = self.writer_type(
            store=arguments["store"], view=arguments["view"], rng=arguments["rng"]
        )


def test_histories_hold():
    run_machine(OrderMachine, examples=EXAMPLES, steps=STEPS)


def test_checker_catches_acceptance_without_confirmation():
    class UnconfirmedService(OrderService):
        async def confirm(self, record):
            self.accept(record)

    assert "not in force on" in find_failure(UnconfirmedService)


def test_checker_catches_a_lost_answer_taken_for_a_refusal():
    class Writer(OrderWriter):
        async def resolve(self, task, on_unknown):
            raise OrderStoreUnavailable("the write got no answer")

    class LostResponseService(FaultyWriterService):
        writer_type = Writer

    assert "refused, but written" in find_failure(LostResponseService)


def test_checker_catches_a_write_over_an_unseen_change():
    class Writer(OrderWriter):
        async def put(self, task):
            try:
                return await super().put(task)
            except StoreConflict:
                found = await self._store.get("service", task.name)
                if found is None or found.revision <= (task.expected or 0):
                    raise StoreWriteUnknown("stale") from None
                task.expected = found.revision
                return await super().put(task)

    class OverwritingService(FaultyWriterService):
        writer_type = Writer

    assert "replaced an unseen change" in find_failure(OverwritingService)
