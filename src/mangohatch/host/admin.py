"""Builds the operator API of one host."""

from collections.abc import Callable

from mangohatch.admin.events import EventReader
from mangohatch.admin.fleet import FleetReader
from mangohatch.admin.interpreter import Interpreter
from mangohatch.admin.release import Releaser
from mangohatch.admin.server import AdminServer
from mangohatch.admin.sources import (
    ConfigSource,
    HostSource,
    OrderSource,
    QuarantineSource,
    RowSource,
    ServiceSource,
    UpstreamSource,
)
from mangohatch.clock import Clock
from mangohatch.core.tables import Tables
from mangohatch.host.routing import Routing
from mangohatch.metrics import Metrics
from mangohatch.metrics.exposition import CONTENT_TYPE, Exposition
from mangohatch.orders.service import OrderService
from mangohatch.orders.view import TableView
from mangohatch.peer.bus import PeerBus
from mangohatch.timeline import Recorder

__all__ = ["make_admin", "newest_revision"]


def make_admin(
    *,
    clock: Clock,
    tables: Tables,
    bus: PeerBus,
    recorder: Recorder,
    routing: Routing,
    metrics: Metrics,
    not_ready: Callable[[], str | None],
    view: TableView | None,
    orders: OrderService | None,
) -> AdminServer:
    """
    Build the operator API.

    :param clock: source of time
    :param tables: services and upstreams
    :param bus: message bus to the other hosts
    :param recorder: recorder of this host's timeline events
    :param routing: decision core of this host
    :param metrics: metrics of this host
    :param not_ready: returns why this host is not ready, None when it is ready
    :param view: configuration read from the object API, None without an object API
    :param orders: service that executes orders, None without an object API
    :return: the server, which does not listen yet
    """
    sources: list[RowSource] = [
        ServiceSource(tables=tables),
        UpstreamSource(tables=tables, state_of=routing.health.state_of),
        ConfigSource(tables=tables, order_of=view.order_of if view else empty_order_id),
        HostSource(
            bus=bus, not_ready=not_ready, revision=lambda: newest_revision(tables)
        ),
        QuarantineSource(table=routing.quarantine),
    ]
    if orders is not None:
        sources.append(OrderSource(orders=orders))
    fleet = FleetReader(bus=bus, clock=clock, sources=sources)
    release = routing.gate.release_request
    interpreter = Interpreter(
        fleet=fleet,
        events=EventReader(bus=bus, clock=clock, recorder=recorder),
        clock=clock,
        orders=orders,
        releaser=Releaser(fleet=fleet, clock=clock, release=release),
    )
    return AdminServer(
        interpreter=interpreter,
        not_ready=not_ready,
        metrics=Exposition(metrics=metrics).render,
        metrics_type=CONTENT_TYPE,
    )


def empty_order_id(service: str) -> str:
    """
    Return the id of the order that wrote a service of the settings file.

    :param service: name of the service
    :return: always empty, since no order wrote the service
    """
    return ""


def newest_revision(tables: Tables) -> int:
    """
    Return the newest active revision.

    :param tables: services and upstreams
    :return: the highest revision of any service, 0 without services
    """
    return max((row.revision for row in tables.services.values()), default=0)
