"""Names of native header fields and removal of hop-by-hop fields."""

from tornado.httputil import HTTPHeaders

__all__ = [
    "ATTEMPT_HEADER",
    "CUSTOMER_HEADER",
    "DEADLINE_HEADER",
    "ERROR_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "OUTCOME_HEADER",
    "REPLAYED_HEADER",
    "REQUEST_ID_HEADER",
    "UPSTREAM_LOAD_HEADER",
    "UPSTREAM_STATE_HEADER",
    "drop_hop_by_hop",
]

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
ATTEMPT_HEADER = "X-Attempt"
OUTCOME_HEADER = "X-Outcome"
ERROR_HEADER = "X-Error-Code"
CUSTOMER_HEADER = "X-Customer"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "X-Replayed"
UPSTREAM_LOAD_HEADER = "X-Upstream-Load"
UPSTREAM_STATE_HEADER = "X-Upstream-State"

HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)
# Fields that frame or identify a message; they are kept even if ``Connection`` names
# them.
PROTECTED = frozenset(
    {
        "Content-Length",
        "Host",
        ATTEMPT_HEADER,
        CUSTOMER_HEADER,
        DEADLINE_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        OUTCOME_HEADER,
        REQUEST_ID_HEADER,
    }
)


def drop_hop_by_hop(headers: HTTPHeaders) -> None:
    """
    Remove hop-by-hop fields and those that ``Connection`` names, in place.

    :param headers: received header fields
    """
    dropped = [name for name in headers if name in HOP_BY_HOP]
    if "Connection" in dropped:
        named = {
            token.strip().title()
            for value in headers.get_list("Connection")
            for token in value.split(",")
        }
        dropped += [name for name in headers if name in named - HOP_BY_HOP - PROTECTED]
    for name in dropped:
        del headers[name]
