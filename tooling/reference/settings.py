"""Generates the reference page of the settings."""

from collections.abc import Iterator
from typing import Any, get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from mangohatch.config import HostSettings, ServiceSpec
from tooling.reference.base import Page, make_table

__all__ = ["SettingsPage"]

INTRODUCTION = """
# Settings

The settings of an entry host are one JSON document, checked whole before anything
starts; unknown fields are refused. `mangohatch check FILE` names each wrong value by
its path. Services can also be declared by order; their specification is the same.
"""
COLUMNS = ("Field", "Type", "Default", "Bounds", "Meaning")
BOUNDS = {"ge": ">=", "gt": ">", "le": "<=", "lt": "<", "pattern": "matches"}


class SettingsPage(Page):
    """Lists all fields of all settings models."""

    name = "settings"

    def body(self) -> str:
        models = iterate_models([HostSettings, ServiceSpec])
        return INTRODUCTION + "".join(make_section(model) for model in models)


def iterate_models(roots: list[type[BaseModel]]) -> Iterator[type[BaseModel]]:
    """
    Iterate over models and the models that their fields use, breadth first.

    :param roots: models to start with
    :return: each model once
    """
    seen: set[type[BaseModel]] = set()
    pending = list(roots)
    while pending:
        model = pending.pop(0)
        if model in seen:
            continue
        seen.add(model)
        yield model
        for field in model.model_fields.values():
            pending.extend(find_models(field.annotation))


def find_models(annotation: Any) -> Iterator[type[BaseModel]]:
    """
    Find the models in a type annotation, also in its type arguments.

    :param annotation: type annotation of a field
    :return: models in the order of the annotation
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for argument in get_args(annotation):
        yield from find_models(argument)


def make_section(model: type[BaseModel]) -> str:
    """
    Render the section of a model.

    :param model: a settings model
    :return: Markdown
    """
    rows = [make_field_row(name, field) for name, field in model.model_fields.items()]
    text = (model.__doc__ or "").strip()
    return f"\n## {model.__name__}\n\n{text}\n\n{make_table(COLUMNS, rows)}"


def make_field_row(name: str, field: FieldInfo) -> tuple[str, ...]:
    """
    Make the table row of a field.

    :param name: name of the field
    :param field: declaration of the field
    :return: cells for ``COLUMNS``
    """
    return (
        f"`{name}`",
        describe_type(field.annotation),
        describe_default(field),
        describe_bounds(field),
        field.description or "",
    )


def describe_type(annotation: Any) -> str:
    """
    Describe the JSON type of a field.

    :param annotation: type annotation of the field
    :return: name of the type, or a link to the section of a model
    """
    arguments = [item for item in get_args(annotation) if item is not type(None)]
    if type(None) in get_args(annotation):
        return f"{describe_type(arguments[0])} or null"
    if getattr(annotation, "__origin__", None) is tuple:
        return f"list of {describe_type(arguments[0])}"
    if arguments:
        return describe_type(arguments[0])
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return f"[{annotation.__name__}](#{annotation.__name__.lower()})"
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    return names.get(annotation, str(annotation))


def describe_default(field: FieldInfo) -> str:
    """
    Describe the default of a field.

    :param field: declaration of the field
    :return: the default, or ``required`` if there is none
    """
    if field.is_required():
        return "required"
    default = field.default
    if isinstance(default, BaseModel):
        return "all defaults"
    if default is None:
        return "null"
    if isinstance(default, tuple):
        return "[]"
    return str(default).lower() if isinstance(default, bool) else str(default)


def describe_bounds(field: FieldInfo) -> str:
    """
    Describe the bounds or the pattern of the values of a field.

    :param field: declaration of the field
    :return: bounds separated by commas, empty if there are none
    """
    parts = []
    for item in field.metadata:
        for name, symbol in BOUNDS.items():
            bound = getattr(item, name, None)
            if bound is not None:
                parts.append(f"{symbol} `{bound}`")
    return ", ".join(parts)
