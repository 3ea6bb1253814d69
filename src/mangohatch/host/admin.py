"""Composition of the operators' door of one host."""

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
    Put the operators' door together.

    :param clock: source of time
    :param tables: services and upstreams
    :param bus: messages to other hosts
    :param recorder: the time line
    :param routing: the decision core
    :param metrics: metrics of this host
    :param not_ready: why this host is not ready, None when it is
    :param view: configuration from the object API, None without one
    :param orders: takes orders, None without an object API
    :return: the server, not yet listening
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
    Tell the order that wrote a service of the settings file.

    :param service: name of the service
    :return: empty, since there is none
    """
    return ""


def newest_revision(tables: Tables) -> int:
    """
    Find the newest revision in force.

    :param tables: services and upstreams
    :return: the greatest revision of any service, 0 without one
    """
    return max((row.revision for row in tables.services.values()), default=0)
