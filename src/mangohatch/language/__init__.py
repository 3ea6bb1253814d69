"""The operators' language: questions and orders in whole sentences."""

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
