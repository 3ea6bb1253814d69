"""Intervals and delays of a directory follower."""

from dataclasses import dataclass

__all__ = ["FollowerSettings"]


@dataclass(slots=True, kw_only=True, frozen=True)
class FollowerSettings:
    """
    Intervals and delays of a follower, in milliseconds, and numbers of receivers.

    The first host in the ranking reads each part every ``interval_ms``. The others
    follow in turns, ``takeover_ms`` apart, and read only if they have received no newer
    reading by then. A host whose own messages arrive late waits
    ``late_delay_ms`` longer. After a failed reading a host waits between
    ``backoff_ms`` and ``backoff_limit_ms``, then for its next turn; without a copy it
    retries within ``first_retry_limit_ms``. A gap of more than
    ``outage_ms`` between two readings counts as an outage of the store. Items that
    expired during an outage are kept for ``expired_retention_ms`` after its end,
    because their owners may still register again.

    A store whose revisions stay below a known one for ``went_back_ms`` came back from
    an older copy.

    A host reads out of turn if it has been behind a peer for ``catch_up_ms``, with up
    to ``catch_up_spread_ms`` added at random, or has heard no peer for
    ``isolation_ms``. At the first start of a fleet a host waits ``first_wait_ms`` for
    marks of peers, and up to as long again in steps of ``first_step_ms`` by its rank.

    Marks go to ``fan_out`` hosts after a change of content and to ``refresh_fan_out``
    after a reading without change, one that is ``refresh_ms`` younger; every
    ``exchange_ms`` a host exchanges marks with a random member, every
    ``first_exchange_ms`` until it has all parts.

    Of watched parts, ``watchers`` hosts keep a call open, and open no two within
    ``watch_spacing_ms``. Such a part is read ``watch_grace_ms`` later than another one
    that nobody reads. A change of it is spread ``change_repeats`` times more.
    """

    interval_ms: float = 500.0  # a quarter of the 2 s in which a change must be applied
    takeover_ms: float = 250.0
    late_delay_ms: float = 600.0  # two hosts of the ranking read before
    backoff_ms: float = 300.0
    backoff_limit_ms: float = 1_500.0
    first_retry_limit_ms: float = 5_000.0
    outage_ms: float = 1_800.0
    # The owners of expired items register again about 2 s after an outage of the store.
    expired_retention_ms: float = 2_200.0
    went_back_ms: float = 1_500.0  # three intervals
    # An interval, this delay with its spread and a reading take less than 2 s.
    catch_up_ms: float = 600.0
    catch_up_spread_ms: float = 300.0
    isolation_ms: float = 1_000.0  # two exchanges without an answer
    first_wait_ms: float = 200.0
    first_step_ms: float = 25.0
    exchange_ms: float = 500.0
    first_exchange_ms: float = 100.0
    refresh_ms: float = 200.0
    fan_out: int = 5
    refresh_fan_out: int = 3
    watchers: int = 2  # one may lose its connection without a sign
    watch_spacing_ms: float = 200.0  # an entry that flaps causes 5 readings a second
    # A reading of another part confirms an open call; a slow store takes 250 ms for it.
    watch_grace_ms: float = 400.0
    change_repeats: int = 2  # 5 receivers once leave out 1 host in 150
