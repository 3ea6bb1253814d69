"""The ``ask`` command."""

import sys

from mangohatch.admin.client import query
from mangohatch.commands.answer import print_reply
from mangohatch.errors import SentenceError
from mangohatch.language import (
    ExplainRequest,
    ShowEvents,
    ShowRows,
    parse,
)

__all__ = ["ask"]


def ask(question: str, /, *, host: str, json: bool = False) -> None:
    """
    Query the current state of all entry hosts.

    Examples of questions: "show upstreams of booking-desk where state != active",
    "show hosts", "show config of booking-desk", "show events since 5m",
    "explain request himal-e1-42".

    :param question: a sentence of the operators' language, in quotes
    :param host: ADDRESS:PORT of the operator API of any entry host
    :param json: print the answer as JSON
    """
    sentence = parse(question)
    if not isinstance(sentence, ShowRows | ShowEvents | ExplainRequest):
        problem = "this is an order; use the command order"
        raise SentenceError(text=question, position=0, problem=problem)
    sys.exit(print_reply(query(host, question), json=json))
