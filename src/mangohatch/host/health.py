"""Publishes upstream ejections and returns to peers and the timeline."""

from mangohatch.core.draining import DrainSystem
from mangohatch.core.health import HealthListener, OutlierHealth
from mangohatch.core.health.table import HealthRow, HealthState
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.notices import UpstreamNotice
from mangohatch.timeline import EventKind, Recorder

__all__ = ["HealthPublisher", "subscribe_ejections"]


class HealthPublisher(HealthListener):
    """
    Records ejections and returns of upstreams, and notifies peers of ejections.

    :param bus: message bus to the other hosts
    :param recorder: recorder of this host's timeline events
    :param draining: excludes upstreams that report that they are draining
    """

    def __init__(
        self, *, bus: PeerBus, recorder: Recorder, draining: DrainSystem
    ) -> None:
        self._bus = bus
        self._recorder = recorder
        self._draining = draining

    def on_ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        self._recorder.record(
            EventKind.UPSTREAM_EJECTED,
            service=row.service,
            upstream=row.name,
            cause=cause,
            duration_ms=duration_ms,
        )
        notice = UpstreamNotice(
            service_name=row.service,
            upstream=row.name,
            state=HealthState.EJECTED,
            ttl_ms=duration_ms,
            cause=cause,
        )
        self._bus.broadcast(notice)

    def on_returned(self, row: HealthRow) -> None:
        self._recorder.record(
            EventKind.UPSTREAM_RETURNED,
            service=row.service,
            upstream=row.name,
            cause="answered on probation",
        )

    def on_replaced(self, upstream: UpstreamRow) -> None:
        # Upstreams of the native protocol do not say which process answers.
        return None

    def on_draining(self, upstream: UpstreamRow) -> None:
        self._draining.mark_draining(upstream, cause="its answer said so")


def subscribe_ejections(bus: PeerBus, *, tables: Tables, health: OutlierHealth) -> None:
    """
    Pass ejections reported by peers to the health checks of this host as advice.

    Notices about upstreams that this host does not have are ignored.

    :param bus: message bus that delivers the notices
    :param tables: services and upstreams of this host
    :param health: outlier detection that receives the advice
    """

    def receive(sender: str, notice: UpstreamNotice) -> None:
        if notice.state != HealthState.EJECTED:
            return
        service = tables.services.get(notice.service_name)
        row = service.upstreams.get(notice.upstream) if service else None
        if row is not None:
            health.advise(row, ttl_ms=notice.ttl_ms)

    bus.subscribe(UpstreamNotice, receive)
