"""What the production's load probes need in a run under noisy neighbours."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mangohatch.core.tables import UpstreamRow
from mangohatch.probing import LoadProbe, ProbeResult

if TYPE_CHECKING:
    from bench.virtual.hedging import NoisyRun

__all__ = ["NoSigns", "NoisyProbe", "SoleOwner"]

PROBE_MS = 0.5


class SoleOwner:
    """Lets the first host probe all upstreams."""

    version = 1
    host_id = "h0"

    def owner(self, service: str, upstream: str) -> str:
        """
        Return the host that probes an upstream.

        :param service: name of the service
        :param upstream: name of the upstream
        :return: id of the host
        """
        return self.host_id


class NoSigns:
    """Ignores what reports say of leaving upstreams; here none leaves."""

    def observe_report(self, row: UpstreamRow, **report: object) -> None:
        """
        Ignore a report.

        :param row: the upstream
        :param report: what the report says
        """


class NoisyProbe(LoadProbe):
    """Probes noisy upstreams."""

    def __init__(self, *, run: "NoisyRun") -> None:
        self._run = run

    def send(
        self, row: UpstreamRow, path: str, done: Callable[[ProbeResult], None]
    ) -> None:
        sent_ms = self._run.loop.now_ms

        def answer() -> None:
            load = self._run.upstreams[row.name].load()
            result = ProbeResult(load=load, measured_ms=sent_ms)
            self._run.loop.after(PROBE_MS, done, result)

        self._run.loop.after(PROBE_MS, answer)

    def retain(self, rows: list[UpstreamRow]) -> None:
        return None
