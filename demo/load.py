"""Plans the requests that callers send in the demo."""

from standins.caller.plan import PlannedRequest, RequestKind, Stream, make_plan
from standins.sites import Site

__all__ = ["make_load"]

LOOKUPS_PER_S = 40.0
KEYED_PER_S = 10.0
UNKEYED_PER_S = 5.0
DOWNLOADS_PER_S = 2.0
LOOKUP_WORK_MS = 8.0
CONFIRM_WORK_MS = 15.0
CRASHING_AT_MS = 16_000.0
DEADLINE_MS = 2000.0
DOWNLOAD_DEADLINE_MS = 20_000.0
DOWNLOAD_BYTES = 512 * 1024
DOWNLOAD_BYTES_PER_S = 128 * 1024


def make_load(
    site: Site,
    *,
    duration_ms: float,
    seed: int,
    name: str = "demo",
    crashing: bool = True,
) -> list[PlannedRequest]:
    """
    Plan lookups, confirmations and downloads for a site.

    :param site: the site that receives the load
    :param duration_ms: duration of the load in milliseconds
    :param seed: seed of the arrival times
    :param name: part of the request ids, distinct for each load of a site
    :param crashing: whether to add a request that crashes upstreams
    :return: requests, sorted by time
    """
    streams = (
        Stream(
            service=site.desk.name,
            kind=RequestKind.LOOKUP,
            per_second=LOOKUPS_PER_S,
            work_ms=LOOKUP_WORK_MS,
            deadline_ms=DEADLINE_MS,
        ),
        Stream(
            service=site.desk.name,
            kind=RequestKind.KEYED,
            per_second=KEYED_PER_S,
            work_ms=CONFIRM_WORK_MS,
            deadline_ms=DEADLINE_MS,
        ),
        Stream(
            service=site.desk.name,
            kind=RequestKind.UNKEYED,
            per_second=UNKEYED_PER_S,
            work_ms=CONFIRM_WORK_MS,
            deadline_ms=DEADLINE_MS,
        ),
        Stream(
            service=site.archive.name,
            kind=RequestKind.DOWNLOAD,
            per_second=DOWNLOADS_PER_S,
            work_ms=LOOKUP_WORK_MS,
            deadline_ms=DOWNLOAD_DEADLINE_MS,
            download_bytes=DOWNLOAD_BYTES,
            rate_bytes_per_s=DOWNLOAD_BYTES_PER_S,
        ),
    )
    prefix = f"{site.name}-{name}"
    plan = make_plan(streams, duration_ms=duration_ms, name=prefix, seed=seed)
    if crashing:
        plan.append(make_crashing_request(site))
    return sorted(plan, key=lambda request: request.at_ms)


def make_crashing_request(site: Site) -> PlannedRequest:
    """
    Make a lookup that crashes each upstream that runs it.

    :param site: the site that receives the request
    :return: the request
    """
    request_id = f"{site.name}-crashing"
    return PlannedRequest(
        request_id=request_id,
        kind=RequestKind.LOOKUP,
        at_ms=CRASHING_AT_MS,
        path=f"/{site.desk.name}/lookup/{request_id}",
        work_ms=LOOKUP_WORK_MS,
        deadline_ms=DEADLINE_MS,
        crashes_upstream=True,
    )
