"""Requests with an idempotency key: claim of the key and replay of its answer."""

import asyncio

from tornado.httputil import HTTPHeaders, ResponseStartLine

from mangohatch.claims import Answer, ClaimRegistry, ClaimTicket
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.headers import (
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    REPLAYED_HEADER,
    REQUEST_ID_HEADER,
)
from mangohatch.entry.sink import CallerSink
from mangohatch.errors import AnswerNotKept, Outcome
from mangohatch.upstream.body_end import BodyEnd
from mangohatch.upstream.response import ResponseHead

__all__ = ["claim", "is_keyed", "make_answer", "replay"]

# Fields that are set anew for each response, so they are not stored with an answer.
PER_RESPONSE_FIELDS = frozenset(
    {"Transfer-Encoding", OUTCOME_HEADER, REQUEST_ID_HEADER}
)


def is_keyed(req: ActiveRequest) -> bool:
    """
    Return whether a request must claim its key.

    :param req: the request
    :return: whether it is non-idempotent and has an idempotency key
    """
    return not req.call.idempotent and bool(req.headers.get(IDEMPOTENCY_KEY_HEADER))


async def claim(registry: ClaimRegistry, req: ActiveRequest) -> ClaimTicket | Answer:
    """
    Claim the key of a request.

    The claim is scoped to the customer, method and path of the request. It ends with
    the request.

    :param registry: claims of all entry hosts
    :param req: a request with an idempotency key
    :return: a ticket to run the request, or the answer to replay
    :raises RequestError: when the request must not run and no answer is available
    """
    path = req.line.path.partition("?")[0]
    key = req.headers[IDEMPOTENCY_KEY_HEADER]
    req.claiming = asyncio.ensure_future(
        registry.begin(
            service=req.call.service,
            key="\n".join((req.call.customer, req.line.method, path, key)),
            request_id=req.call.request_id,
            deadline_ms=req.call.deadline_ms,
        )
    )
    try:
        return await req.claiming
    except asyncio.CancelledError:
        if req.failure is not None:
            raise req.failure from None
        raise
    finally:
        req.claiming = None


def make_answer(sink: CallerSink) -> Answer | None:
    """
    Create the answer to keep from a completely sent response.

    :param sink: the response as sent to the caller
    :return: the answer, without its body when that is over the size limit; None when
        the response does not report the outcome done
    """
    head = sink.head
    if head is None or sink.outcome is not Outcome.DONE:
        return None
    kept = tuple(
        pair for pair in head.headers.get_all() if pair[0] not in PER_RESPONSE_FIELDS
    )
    body = bytes(sink.copy) if sink.copy is not None else None
    return Answer(status=head.line.code, headers=kept, body=body)


def replay(answer: Answer, sink: CallerSink) -> None:
    """
    Replay the answer to the first request with the same key.

    :param answer: the kept answer
    :param sink: writes to the caller
    :raises AnswerNotKept: when the body was too long to be kept
    """
    if answer.body is None:
        raise AnswerNotKept("the request was run; its answer was too long to be kept")
    headers = HTTPHeaders()
    for name, value in answer.headers:
        headers.add(name, value)
    headers[REPLAYED_HEADER] = "true"
    headers["Content-Length"] = str(len(answer.body))
    line = ResponseStartLine("HTTP/1.1", answer.status, "")
    sink.start(ResponseHead(line=line, headers=headers), body_pending=False)
    if answer.body:
        sink.write(answer.body)
    sink.finish(BodyEnd.LENGTH)
    sink.end()
