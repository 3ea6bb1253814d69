"""Header fields: what is passed on, what is dropped, what is added."""

from tornado.httputil import HTTPHeaders

__all__ = [
    "DEADLINE_HEADER",
    "ERROR_HEADER",
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "forwardable",
]

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
OUTCOME_HEADER = "X-Outcome"
ERROR_HEADER = "X-Error-Code"

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


def forwardable(headers: HTTPHeaders) -> HTTPHeaders:
    """
    Copy the end-to-end header fields.

    :param headers: fields as received
    :return: a copy without hop-by-hop fields and those named by ``Connection``
    """
    named = {
        token.strip().title()
        for value in headers.get_list("Connection")
        for token in value.split(",")
    }
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in HOP_BY_HOP and name not in named:
            kept.add(name, value)
    return kept
