"""Decodes the entries by which upstreams register at the platform."""

import json
from functools import lru_cache
from typing import Any

from mangohatch.directory.content import RegisteredUpstream
from mangohatch.platform.cold import read_cold_ms
from mangohatch.platform.json_text import decode_json
from mangohatch.platform.values import (
    MAX_COLD_MS,
    DocumentError,
    check_text,
    check_whole,
    describe,
    parse_address,
    parse_duration_ms,
    require_field,
)

__all__ = ["normalize_upstream", "read_upstream"]

# An entry is up to one heartbeat of 1.5 s old when it is read.
RENEWAL_MS = 2_000.0
DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})
MAX_SLOTS = 65_535
MAX_TIME_MS = 2**53  # larger numbers are not exact in JSON
MAX_SEQUENCE = 2**63 - 1
MAX_REMEMBERED = 16_384  # normalized entries; the size to design for is 8,600


def normalize_upstream(
    spec: Any,
    *,
    wall_ms: float,
    previous_json: str | None,
    name: str = "",
    follow_cold: bool = False,
) -> str:
    """
    Reduce an upstream's entry to the fields that affect how the upstream is used.

    Heartbeats change an entry about once a second. The result does not change with
    them, so that peers are notified of relevant changes only.

    :param spec: content of the entry
    :param wall_ms: current time of day in milliseconds
    :param previous_json: result for an earlier reading of the entry, by this host or
        a peer; None if there is none
    :param name: id of the upstream, for the log
    :param follow_cold: whether cold upstreams are limited; an upstream may then become
        cold again, and an invalid time counts as 0
    :return: JSON for :func:`read_upstream`
    :raises DocumentError: if a field is missing, has the wrong type or is out of range
    """
    info = require_field(spec, "info", dict)
    status = require_field(spec, "status", dict)
    state = status.get("state")
    if not isinstance(state, str) or state not in STATES:
        raise DocumentError(
            f"field 'status.state' is {describe(state)}, expected ready or draining"
        )
    parse_address(spec.get("address"))
    fields = {
        "address": spec["address"],
        "service": check_text("info.service", info.get("service")),
        "zone": check_text("info.zone", info.get("zone")),
        "slots": check_whole("info.slots", info.get("slots"), 1, MAX_SLOTS),
        "draining": state == DRAINING,
        "born": check_whole("born", spec.get("born", 0), 0, MAX_TIME_MS),
    }
    sequence = status.get("sequence")
    if sequence is not None:
        check_whole("status.sequence", sequence, 0, MAX_SEQUENCE)
    # ``cold_remaining`` shrinks with each heartbeat, so the end of the warm-up is
    # computed once per start and then kept. It does not depend on the time of the
    # reading once the upstream is warm, so that all readers get the same content.
    remaining = status.get("cold_remaining", "0ms")
    if follow_cold:
        cold_ms = read_cold_ms(name, "cold_remaining", remaining) or 0.0
    else:
        cold_ms = parse_duration_ms(remaining)
        if cold_ms > MAX_COLD_MS:
            raise DocumentError(
                f"field 'status.cold_remaining' is {describe(remaining)}, expected a"
                " duration up to one hour"
            )
    warm_wall_ms = int(wall_ms + cold_ms) if cold_ms > 0.0 else 0
    previous = read_previous(previous_json)
    is_same_start = previous.get("born") == fields["born"]
    known_wall_ms = previous["warm_wall_ms"] if is_same_start else 0
    if follow_cold:
        # A later end in another heartbeat is another cold state of the same process.
        is_renewed = (
            sequence != previous.get("cold_sequence")
            and warm_wall_ms > known_wall_ms + RENEWAL_MS
        )
        is_same_start = is_same_start and not is_renewed
        if cold_ms > 0.0:
            fields["cold_sequence"] = sequence
        if is_same_start:
            fields["cold_sequence"] = previous.get("cold_sequence")
    fields["warm_wall_ms"] = known_wall_ms if is_same_start else warm_wall_ms
    return json.dumps(fields, separators=(",", ":"), sort_keys=True)


def read_previous(text: str | None) -> dict[str, Any]:
    """
    Read the result for an earlier reading, which a peer may have sent.

    :param text: the normalized entry, None if there is none
    :return: its fields, empty if the start or the end of the warm-up is missing
    """
    if text is None:
        return {}
    try:
        fields = decode_json(text)
        require_field(fields, "born", int)
        require_field(fields, "warm_wall_ms", int)
    except DocumentError:
        return {}
    return fields


@lru_cache(maxsize=MAX_REMEMBERED)
def read_upstream(name: str, text: str) -> RegisteredUpstream:
    """
    Read an upstream's entry that :func:`normalize_upstream` has written.

    It may come from a host of an earlier release, which checked less.

    :param name: id of the upstream
    :param text: the normalized entry, as JSON
    :return: the registered upstream
    :raises DocumentError: if a field is missing, has the wrong type or is out of range
    """
    fields = decode_json(text)
    draining = require_field(fields, "draining", bool)
    address, port = parse_address(fields.get("address"))
    return RegisteredUpstream(
        name=name,
        service=check_text("service", fields.get("service")),
        address=address,
        port=port,
        zone=check_text("zone", fields.get("zone")),
        slots=check_whole("slots", fields.get("slots"), 1, MAX_SLOTS),
        draining=draining,
        started_ms=check_whole("born", fields.get("born"), 0, MAX_TIME_MS),
        warm_wall_ms=check_whole(
            "warm_wall_ms", fields.get("warm_wall_ms"), 0, MAX_TIME_MS
        ),
    )
