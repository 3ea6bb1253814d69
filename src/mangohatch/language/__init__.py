"""
The operators' language, in which operators control the entry hosts.

A sentence is the text of one request. A question reads rows, events or the history of
a request; an order changes the configuration or releases a quarantined request.
"""

from mangohatch.language.parser import parse
from mangohatch.language.sentences import (
    AddUpstream,
    Condition,
    DeclareService,
    DrainUpstream,
    ExplainRequest,
    Operator,
    OrderSentence,
    ReleaseRequest,
    RemoveUpstream,
    Sentence,
    SetField,
    ShowEvents,
    ShowRows,
    Subject,
)

__all__ = [
    "AddUpstream",
    "Condition",
    "DeclareService",
    "DrainUpstream",
    "ExplainRequest",
    "Operator",
    "OrderSentence",
    "ReleaseRequest",
    "RemoveUpstream",
    "Sentence",
    "SetField",
    "ShowEvents",
    "ShowRows",
    "Subject",
    "parse",
]
