"""Permits for upstreams that name a limit, given out by the host that owns them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from mangohatch.clock import Clock
from mangohatch.core.limits.bucket import TokenBucket
from mangohatch.core.limits.cold import BURST_S, ColdStates
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.timers import Timers

__all__ = ["PermitBroker", "rate"]

REQUEST_TTL_MS = 120.0  # a host whose calls still wait asks again earlier
MIN_PER_S = 0.05  # an upstream that takes nothing could never withdraw its limit


@dataclass(slots=True, kw_only=True)
class Wanted:
    """Permits that a host asked for until ``until_ms``, by a numbered request."""

    count: int
    until_ms: float
    number: int | None


@dataclass(slots=True, kw_only=True)
class LimitedUpstream:
    """
    Tokens of an upstream, and the hosts that ask for them, longest wait first.

    ``cold`` is whether the tokens are those of a cold upstream.
    """

    row: UpstreamRow
    bucket: TokenBucket
    cold: bool = False
    wanted: OrderedDict[str, Wanted] = field(default_factory=OrderedDict)
    timed: bool = False


class PermitBroker:
    """
    Gives out permits for the upstreams that this host owns.

    A limit holds for all hosts together, so one host keeps the tokens: the owner of the
    upstream, which all hosts compute by themselves. While their member lists differ,
    two hosts may give out permits; each of them starts without tokens.

    ``granted`` counts the permits that were given out.

    :param clock: source of time
    :param subset: the owner of each upstream
    :param timers: gives out the next token
    :param grant: gives permits to a host: its id, the upstream, how many and the number
        of the request
    :param cold: rates of cold upstreams; None if no upstream is ever cold
    """

    def __init__(
        self,
        *,
        clock: Clock,
        subset: SubsetTable,
        timers: Timers,
        grant: Callable[[str, UpstreamRow, int, int | None], None],
        cold: ColdStates | None = None,
    ) -> None:
        self._cold = cold
        self._clock = clock
        self._subset = subset
        self._timers = timers
        self._grant = grant
        self._limited: dict[int, LimitedUpstream] = {}
        self.granted = 0

    def owns(self, row: UpstreamRow) -> bool:
        """
        Return whether this host gives out the permits of an upstream.

        :param row: the upstream
        :return: whether it is the owner
        """
        return self._subset.owner(row.service, row.name) == self._subset.host_id

    def take(self, row: UpstreamRow) -> bool:
        """
        Take a permit for a request of this host, if no other host asks for one.

        :param row: an upstream that this host owns
        :return: whether the request may be sent
        """
        if not self.is_free(row):
            return False
        self._find(row).bucket.take(1)
        return True

    def is_free(self, row: UpstreamRow) -> bool:
        """
        Return whether :meth:`take` would succeed.

        :param row: an upstream that this host owns
        :return: whether there is a token for which no host asks
        """
        item = self._find(row)
        self._drop_expired(item)
        return not item.wanted and self._count(item) > 0

    def request(
        self, host_id: str, row: UpstreamRow, count: int, number: int | None = None
    ) -> None:
        """
        Give permits to a host, now or when there are tokens.

        :param host_id: id of the host, which may be this one
        :param row: the upstream
        :param count: number of permits
        :param number: number of the request, which the answer repeats
        """
        if not row.limited or not self.owns(row):
            return
        item = self._find(row)
        until_ms = self._clock.now_ms() + REQUEST_TTL_MS
        item.wanted[host_id] = Wanted(count=count, until_ms=until_ms, number=number)
        self._serve(item)

    def put_back(self, row: UpstreamRow, count: int) -> None:
        """
        Take back permits that a host did not use.

        :param row: the upstream
        :param count: number of permits
        """
        if self.owns(row):
            item = self._find(row)
            item.bucket.put_back(count)
            self._serve(item)

    def tick(self, limited: list[UpstreamRow]) -> None:
        """
        Keep tokens of the limited upstreams that this host owns.

        :param limited: all upstreams of this host that have a limit
        """
        owned = [row for row in limited if self.owns(row)]
        for row in owned:
            self._find(row)
        for key in self._limited.keys() - {id(row) for row in owned}:
            del self._limited[key]

    def _find(self, row: UpstreamRow) -> LimitedUpstream:
        item = self._limited.get(id(row))
        if item is None:
            item = LimitedUpstream(row=row, bucket=TokenBucket(clock=self._clock))
            self._limited[id(row)] = item
        if item.cold != row.cold.cold:
            item.cold = row.cold.cold
            self._empty(item)
        return item

    def _empty(self, item: LimitedUpstream) -> None:
        if item.cold:
            item.bucket = TokenBucket(clock=self._clock, burst_s=BURST_S)
        else:
            item.bucket = TokenBucket(clock=self._clock)

    def _per_s(self, item: LimitedUpstream) -> float:
        if not item.cold or self._cold is None:
            return rate(item.row)
        return min(rate(item.row), self._cold.per_s(item.row))

    def _count(self, item: LimitedUpstream) -> int:
        per_s = self._per_s(item)
        if per_s <= 0.0:
            self._empty(item)
        return item.bucket.count(per_s)

    def _drop_expired(self, item: LimitedUpstream) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            host for host, wanted in item.wanted.items() if wanted.until_ms <= now_ms
        ]
        for host in expired:
            del item.wanted[host]

    def _serve(self, item: LimitedUpstream) -> None:
        if not item.row.limited:
            return
        self._drop_expired(item)
        tokens = self._count(item)
        while tokens and item.wanted:
            host, wanted = item.wanted.popitem(last=False)
            count = min(tokens, wanted.count)
            tokens -= count
            item.bucket.take(count)
            self.granted += count
            self._grant(host, item.row, count, wanted.number)
        if item.wanted and not item.timed:
            item.timed = True
            per_s = self._per_s(item)
            delay_ms = item.bucket.next_ms(per_s) if per_s > 0.0 else REQUEST_TTL_MS
            self._timers.call_later(delay_ms, lambda: self._serve_later(item))

    def _serve_later(self, item: LimitedUpstream) -> None:
        item.timed = False
        if self._limited.get(id(item.row)) is item:
            self._serve(self._find(item.row))


def rate(row: UpstreamRow) -> float:
    """
    Return the rate at which an upstream takes requests.

    :param row: an upstream that has a limit
    :return: requests a second
    """
    return max(row.limit_per_s, MIN_PER_S)
