"""Review of a configuration before it is submitted."""

from mangohatch.review.changes import list_changes
from mangohatch.review.declared import (
    DeclaredAccount,
    DeclaredConfiguration,
    DeclaredRoute,
    DeclaredService,
)
from mangohatch.review.finding import Finding, Severity
from mangohatch.review.rules import review

__all__ = [
    "DeclaredAccount",
    "DeclaredConfiguration",
    "DeclaredRoute",
    "DeclaredService",
    "Finding",
    "Severity",
    "list_changes",
    "review",
]
