"""The ``order`` command."""

import sys
import uuid

from mangohatch.admin.client import query
from mangohatch.commands.answer import print_reply
from mangohatch.errors import HostUnanswered, SentenceError
from mangohatch.language import ExplainRequest, ShowEvents, ShowRows, parse

__all__ = ["order"]


def order(
    sentence: str, /, *, host: str, order_id: str | None = None, json: bool = False
) -> None:
    """
    Submit an order; it is applied on all entry hosts, refused or reported as pending.

    Examples of orders: "drain upstream u7 of booking-desk",
    "undrain upstream u7 of booking-desk", "set deadline_ms of booking-desk to 2000",
    "release request 4f1d... of booking-desk".

    An order whose answer was lost can be repeated with the same id; it is executed
    only once.

    :param sentence: a sentence of the operators' language, in quotes
    :param host: ADDRESS:PORT of the operator API of any entry host
    :param order_id: id of the order; a new id is generated when omitted
    :param json: print the answer as JSON
    """
    parsed = parse(sentence)
    if isinstance(parsed, ShowRows | ShowEvents | ExplainRequest):
        problem = "this is a question; use the command ask"
        raise SentenceError(text=sentence, position=0, problem=problem)
    effective_id = order_id or uuid.uuid4().hex
    try:
        reply = query(host, sentence, order_id=effective_id)
    except HostUnanswered as exc:
        hint = f"give it again with --order-id {effective_id}"
        raise HostUnanswered(f"{exc}; the order may have been taken: {hint}") from exc
    sys.exit(print_reply(reply, json=json))
