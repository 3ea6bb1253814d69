"""Evaluation of the conditions of a question on rows."""

import operator
from collections.abc import Iterable, Mapping
from typing import Any

from mangohatch.language import Condition, Operator

__all__ = ["Row", "matches"]

Row = dict[str, Any]

COMPARISONS = {
    Operator.EQUAL: operator.eq,
    Operator.NOT_EQUAL: operator.ne,
    Operator.LESS: operator.lt,
    Operator.GREATER: operator.gt,
    Operator.AT_MOST: operator.le,
    Operator.AT_LEAST: operator.ge,
}


def matches(row: Mapping[str, Any], conditions: Iterable[Condition]) -> bool:
    """
    Tell whether a row fulfils all conditions.

    :param row: values by column
    :param conditions: the conditions
    :return: whether all hold
    """
    return all(is_met(row.get(condition.field), condition) for condition in conditions)


def is_met(value: Any, condition: Condition) -> bool:
    """
    Evaluate one condition: as numbers where both are, else as text.

    :param value: value of the row; a list holds where one of its elements does
    :param condition: the condition
    :return: whether it holds
    """
    if isinstance(value, list | tuple):
        if condition.operator is Operator.NOT_EQUAL:
            return all(is_met(element, condition) for element in value)
        return any(is_met(element, condition) for element in value)
    compare = COMPARISONS[condition.operator]
    if isinstance(value, bool):
        return compare(str(value).lower(), condition.value.lower())
    if isinstance(value, int | float):
        try:
            return compare(value, float(condition.value))
        except ValueError:
            return condition.operator is Operator.NOT_EQUAL
    return compare(str(value or ""), condition.value)
