"""Request plans of callers, reproducible by seed."""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["PlannedRequest", "RequestKind", "Stream", "make_plan"]


class RequestKind(StrEnum):
    """Kinds of requests in the workloads that the project is designed for."""

    LOOKUP = "lookup"
    KEYED = "confirm_keyed"
    UNKEYED = "confirm_unkeyed"
    DOWNLOAD = "download"

    @property
    def idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self in (RequestKind.LOOKUP, RequestKind.DOWNLOAD)


@dataclass(slots=True, kw_only=True, frozen=True)
class PlannedRequest:
    """A request that is sent ``at_ms`` milliseconds after the start of the run."""

    request_id: str
    kind: RequestKind
    at_ms: float
    path: str
    work_ms: float
    deadline_ms: float
    download_bytes: int = 0
    rate_bytes_per_s: int = 0
    crashes_upstream: bool = False

    @property
    def target(self) -> str:
        """Request target: path and query."""
        query = f"id={self.request_id}&work_ms={self.work_ms:.1f}"
        if self.download_bytes:
            query += f"&download={self.download_bytes}&rate={self.rate_bytes_per_s}"
        if self.crashes_upstream:
            query += "&crash=1"
        return f"{self.path}?{query}"


@dataclass(slots=True, kw_only=True, frozen=True)
class Stream:
    """
    A stream of requests of one kind to one service.

    The stream is open-loop: arrivals do not depend on earlier replies.
    """

    service: str
    kind: RequestKind
    per_second: float
    work_ms: float
    deadline_ms: float
    download_bytes: int = 0
    rate_bytes_per_s: int = 0


def iterate_stream(
    stream: Stream, duration_ms: float, name: str, rng: random.Random
) -> Iterator[PlannedRequest]:
    """
    Plan the arrivals of one stream.

    Arrivals form a Poisson process; work durations are exponentially distributed.

    :param stream: the stream
    :param duration_ms: length of the plan in milliseconds
    :param name: prefix of the request ids
    :param rng: random number generator for arrivals and work durations
    :return: requests in order of planned time
    """
    at_ms = 0.0
    number = 0
    while True:
        at_ms += rng.expovariate(stream.per_second / 1000)
        if at_ms >= duration_ms:
            return
        number += 1
        request_id = f"{name}-{stream.kind}-{number}"
        yield PlannedRequest(
            request_id=request_id,
            kind=stream.kind,
            at_ms=at_ms,
            path=f"/{stream.service}/{stream.kind}/{request_id}",
            work_ms=rng.expovariate(1 / stream.work_ms),
            deadline_ms=stream.deadline_ms,
            download_bytes=stream.download_bytes,
            rate_bytes_per_s=stream.rate_bytes_per_s,
        )


def make_plan(
    streams: Sequence[Stream], *, duration_ms: float, name: str, seed: int
) -> list[PlannedRequest]:
    """
    Plan all arrivals of a run.

    :param streams: streams of requests
    :param duration_ms: length of the plan in milliseconds
    :param name: prefix of the request ids
    :param seed: seed of the random number generator
    :return: requests of all streams in order of planned time
    """
    rng = random.Random(seed)
    plan = [
        request
        for stream in streams
        for request in iterate_stream(stream, duration_ms, name, rng)
    ]
    return sorted(plan, key=lambda request: request.at_ms)
