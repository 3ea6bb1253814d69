"""Reads what upstreams of the platform say of themselves in responses."""

import math
import re
from dataclasses import replace
from functools import lru_cache

import structlog

from mangohatch.core.load import UpstreamLoad
from mangohatch.core.statement import UpstreamStatement
from mangohatch.platform.values import MAX_COLD_MS
from mangohatch.upstream.response import ResponseHead

__all__ = [
    "NOT_EXECUTED",
    "RETRY_AFTER",
    "SIGNATURE",
    "is_not_run",
    "read_load",
    "read_probe",
    "read_statement",
]

SIGNATURE = "Upstream-Signature"
RETRY_AFTER = "Retry-After"
NOT_EXECUTED = "Not-Executed"
LOAD = "Upstream-Load"
LIMIT = "Server-Limit"
INSTANCE = "Upstream-Instance"
LEAVING = "Server-Leaving"
COLD = "Cold-Ms"
# Fields whose names begin so say something of the upstream itself.
SIGN_PREFIXES = ("Upstream-", "Server-")
KNOWN_FIELDS = frozenset({SIGNATURE, LOAD, LIMIT, INSTANCE, LEAVING})

OK = 200
SERVICE_UNAVAILABLE = 503
MISDIRECTED = 421
FIRST_SERVER_ERROR = 500
MAX_LOGGED_CHARACTERS = 40
MAX_LOGGED_SIGNS = 1_000
LEAVES = "1"
# Running, waiting, slots and maybe the current processing time in percent of the
# typical one; later releases may add more.
LOAD_NUMBERS = re.compile(r" *[0-9]{1,6} *(?:, *[0-9]{1,6} *){2,7}")
PERCENT = 100.0
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MILLISECONDS = re.compile(r"[0-9]{1,9}")
MS_PER_SECOND = 1000.0

log = structlog.get_logger()


def is_not_run(head: ResponseHead) -> bool:
    """
    Return whether an upstream says that it did not run a request.

    :param head: head of its response
    :return: whether the request was not run
    """
    return head.line.code == MISDIRECTED or NOT_EXECUTED in head.headers


def read_statement(head: ResponseHead, upstream: str) -> UpstreamStatement:
    """
    Read what an upstream says of itself.

    :param head: head of a response to a request or to a health check
    :param upstream: name of the upstream, for the log
    :return: the decoded fields; those that can't be read count as missing
    """
    code = head.line.code
    for name in head.headers:
        if name.startswith(SIGN_PREFIXES) and name not in KNOWN_FIELDS:
            log_unknown_field(name[:MAX_LOGGED_CHARACTERS])
    if code == MISDIRECTED:
        # Another upstream now uses the address, so the fields are not of this one.
        return UpstreamStatement(load=read_load(head), replaced=True, accepted=False)
    return UpstreamStatement(
        load=read_load(head),
        limit_per_s=read_limit(head),
        leaving=read_leaving(head, upstream),
        pause_ms=read_pause_ms(head, upstream),
        accepted=not is_not_run(head) and code != SERVICE_UNAVAILABLE,
    )


def read_limit(head: ResponseHead) -> float | None:
    """
    Read the limit that an upstream names.

    :param head: head of the response
    :return: requests a second, infinite if an answer names none; None if the response
        is no evidence
    """
    text = head.headers.get(LIMIT)
    if text is not None:
        return parse_limit(text)
    # A request that was not run, or an error, need not come from where limits are
    # named.
    is_answer = head.line.code < FIRST_SERVER_ERROR and not is_not_run(head)
    return math.inf if is_answer else None


def read_leaving(head: ResponseHead, upstream: str) -> bool:
    """
    Read whether an upstream leaves.

    :param head: head of the response
    :param upstream: name of the upstream, for the log
    :return: whether it says so; a field that can't be read says nothing
    """
    text = head.headers.get(LEAVING)
    if text is None or text == LEAVES:
        return text is not None
    log_unreadable_sign(upstream, LEAVING, text[:MAX_LOGGED_CHARACTERS], LEAVES)
    return False


def read_pause_ms(head: ResponseHead, upstream: str) -> float | None:
    """
    Read for how long an upstream wants no request of this host.

    :param head: head of the response
    :param upstream: name of the upstream, for the log
    :return: milliseconds, more than 0; None if it wants no pause
    """
    text = head.headers.get(RETRY_AFTER)
    if text is None:
        return None
    if head.line.code != SERVICE_UNAVAILABLE:
        shown = text[:MAX_LOGGED_CHARACTERS]
        log_unreadable_sign(upstream, RETRY_AFTER, shown, "only in a response 503")
        return None
    pause_ms = float(text) * MS_PER_SECOND if SECONDS.fullmatch(text) else 0.0
    if pause_ms > 0.0:
        return pause_ms
    shown = text[:MAX_LOGGED_CHARACTERS]
    log_unreadable_sign(upstream, RETRY_AFTER, shown, "one number of seconds above 0")
    return None


@lru_cache(maxsize=MAX_LOGGED_SIGNS)
def log_unreadable_sign(upstream: str, field: str, value: str, expected: str) -> None:
    """
    Log a field of a response that can't be read, once for each upstream and value.

    :param upstream: name of the upstream
    :param field: name of the header field
    :param value: its value
    :param expected: what was expected
    """
    log.warning(
        "sign_unreadable",
        upstream=upstream,
        field=field,
        value=value,
        expected=expected,
    )


@lru_cache(maxsize=MAX_LOGGED_SIGNS)
def log_unknown_field(name: str) -> None:
    """
    Log a field by which an upstream says something unknown of itself, once by name.

    :param name: name of the header field
    """
    log.warning("field_unknown", field=name, treated_as="passed on to the caller")


def parse_limit(text: str) -> float | None:
    """
    Parse the limit that an upstream names.

    :param text: value of the header field
    :return: requests a second; None if it is not a number of at least 0
    """
    try:
        per_s = float(text)
    except ValueError:
        per_s = math.nan
    if 0.0 <= per_s < math.inf:
        return per_s
    log.warning("limit_unreadable", value=text[:MAX_LOGGED_CHARACTERS])
    return None


def read_load(head: ResponseHead) -> UpstreamLoad | None:
    """
    Read the load that an upstream reports in a response.

    :param head: head of the response
    :return: the load; None if the field is missing or malformed
    """
    text = head.headers.get(LOAD)
    if text is None:
        return None
    if LOAD_NUMBERS.fullmatch(text) is None:
        return None
    running, waiting, slots, *rest = (int(part) for part in text.split(","))
    percent = rest[0] if rest else PERCENT
    if slots == 0 or percent == 0:
        return None
    return UpstreamLoad(
        running=running, waiting=waiting, slots=slots, slowdown=percent / PERCENT
    )


def read_cold_ms(head: ResponseHead, upstream: str) -> float | None:
    """
    Read for how long an upstream remains cold.

    :param head: head of the response to a health check
    :param upstream: name of the upstream, for the log
    :return: milliseconds, 0 if it is warm; None if it does not say or can't be read
    """
    text = head.headers.get(COLD)
    if text is None:
        return None
    if MILLISECONDS.fullmatch(text) and int(text) <= MAX_COLD_MS:
        return float(text)
    expected = "whole milliseconds from 0 to one hour"
    log_unreadable_sign(upstream, COLD, text[:MAX_LOGGED_CHARACTERS], expected)
    return None


def read_probe(
    head: ResponseHead, *, follow_cold: bool = False
) -> tuple[UpstreamStatement, str]:
    """
    Read the response to a health check.

    :param head: head of the response
    :param follow_cold: whether cold upstreams are limited
    :return: what the upstream says of itself, and its id
    """
    instance = head.headers.get(INSTANCE, "")
    statement = read_statement(head, instance)
    if follow_cold and not statement.replaced:
        statement = replace(statement, cold_ms=read_cold_ms(head, instance))
    if statement.load is not None and head.line.code != OK:
        load = replace(statement.load, healthy=False)
        statement = replace(statement, load=load)
    return statement, instance
