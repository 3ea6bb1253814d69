"""Checks by load probes whether an upstream is alive."""

from collections.abc import Callable

from mangohatch.core.quarantine import CheckResult, CrashCheck
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.probing.probe import LoadProbe, ProbeResult

__all__ = ["ProbeCrashCheck"]


class ProbeCrashCheck(CrashCheck):
    """
    Sends a load probe for each check.

    :param tables: services, for the path of the probes
    :param probe: sends the probes; not used for other upstreams or purposes
    """

    def __init__(self, *, tables: Tables, probe: LoadProbe) -> None:
        self._tables = tables
        self._probe = probe

    def send(self, upstream: UpstreamRow, done: Callable[[CheckResult], None]) -> None:
        service = self._tables.services.get(upstream.service)
        if service is None:
            done(CheckResult.SILENT)
            return
        self._probe.send(
            upstream,
            service.spec.health_path,
            lambda result: done(classify(result, upstream)),
        )

    def retain(self, upstreams: list[UpstreamRow]) -> None:
        self._probe.retain(upstreams)


def classify(result: ProbeResult, upstream: UpstreamRow) -> CheckResult:
    """
    Return what the result of a probe says about an upstream.

    :param result: result of the probe
    :param upstream: the upstream to which the probe was sent
    :return: refused also when another process answers at the address
    """
    if result.refused or result.instance not in ("", upstream.name):
        return CheckResult.REFUSED
    return CheckResult.SILENT if result.load is None else CheckResult.ANSWERED
