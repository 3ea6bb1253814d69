"""Evaluates the conditions of a question on rows."""

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
    Return whether a row meets all conditions.

    :param row: values by column
    :param conditions: conditions of the question
    :return: whether every condition is met
    """
    return all(is_met(row.get(condition.field), condition) for condition in conditions)


def is_met(value: Any, condition: Condition) -> bool:
    """
    Evaluate one condition on a value.

    A number is compared as a number; against text it meets only "not equal". Any
    other value is compared as text. A list meets a condition when one of its
    elements does, and "not equal" when all of its elements do.

    :param value: value of the row
    :param condition: the condition
    :return: whether the value meets the condition
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
