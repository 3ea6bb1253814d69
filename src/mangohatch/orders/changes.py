"""Applies orders to service specifications."""

import json
from collections.abc import Callable
from typing import Any

from pydantic import ValidationError

from mangohatch.config import ServiceSpec
from mangohatch.config.loader import format_validation_error
from mangohatch.errors import OrderInvalid
from mangohatch.language import (
    AddUpstream,
    DeclareService,
    DrainUpstream,
    OrderSentence,
    RemoveUpstream,
    SetField,
)

__all__ = ["apply_order", "target_service_name"]

Document = dict[str, Any]


def target_service_name(order: OrderSentence) -> str:
    """
    Return the name of the service that an order changes.

    :param order: the parsed order
    :return: name of the service
    :raises OrderInvalid: if a declaration has no name
    """
    if not isinstance(order, DeclareService):
        return order.service
    name = read_document(order).get("name")
    if not isinstance(name, str):
        raise OrderInvalid("the declaration has no name")
    return name


def apply_order(order: OrderSentence, base: ServiceSpec | None) -> ServiceSpec:
    """
    Apply an order to a service specification.

    :param order: the parsed order
    :param base: current specification of the service; None if it does not exist
    :return: the validated new specification
    :raises OrderInvalid: if the order does not apply to the service, or the result
        is not valid
    """
    if isinstance(order, DeclareService):
        return check_service(read_document(order))
    if base is None:
        raise OrderInvalid(f"there is no service {order.service}")
    document = base.model_dump(mode="json")
    CHANGES[type(order)](order, document)
    return check_service(document)


def check_service(document: Document) -> ServiceSpec:
    """
    Validate a service with the models that every host uses.

    :param document: JSON document of the service
    :return: the validated specification
    :raises OrderInvalid: with the path of each invalid value
    """
    try:
        return ServiceSpec.model_validate(document)
    except ValidationError as exc:
        problems = [format_validation_error(item) for item in exc.errors()]
        raise OrderInvalid("; ".join(problems)) from exc


def read_document(order: DeclareService) -> Document:
    """
    Parse the JSON document of a declaration.

    :param order: the declaration
    :return: JSON document of the declared service
    :raises OrderInvalid: if the text is not a JSON object
    """
    try:
        document = json.loads(order.json)
    except ValueError as exc:
        raise OrderInvalid(f"the declaration is no JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise OrderInvalid("the declaration is no JSON object")
    return document


def find_upstream(document: Document, name: str) -> Document:
    """
    Find an upstream of a service by name.

    :param document: JSON document of the service
    :param name: name of the upstream
    :return: the upstream's part of the document, which callers may modify
    :raises OrderInvalid: if the service has no such upstream
    """
    for upstream in document["upstreams"]:
        if upstream["name"] == name:
            return upstream
    raise OrderInvalid(f"service {document['name']} has no upstream {name}")


def drain(order: DrainUpstream, document: Document) -> None:
    """
    Set or clear the draining mark of an upstream.

    :param order: names the upstream and the new value of its mark
    :param document: JSON document of the service, modified in place
    """
    find_upstream(document, order.upstream)["draining"] = order.draining


def set_field(order: SetField, document: Document) -> None:
    """
    Set a field of a service.

    :param order: holds the dotted path of the field and the new value
    :param document: JSON document of the service, modified in place
    """
    *path, last = order.field.split(".")
    for part in path:
        document = document[part]
    document[last] = order.value


def add_upstream(order: AddUpstream, document: Document) -> None:
    """
    Add an upstream to a service.

    :param order: describes the new upstream
    :param document: JSON document of the service, modified in place
    """
    upstream: Document = {
        "name": order.upstream,
        "address": order.address,
        "port": order.port,
        "zone": order.zone,
    }
    if order.slots is not None:
        upstream["slots"] = order.slots
    document["upstreams"].append(upstream)


def remove_upstream(order: RemoveUpstream, document: Document) -> None:
    """
    Remove an upstream from a service.

    :param order: names the upstream
    :param document: JSON document of the service, modified in place
    """
    document["upstreams"].remove(find_upstream(document, order.upstream))


CHANGES: dict[type, Callable[[Any, Document], None]] = {
    AddUpstream: add_upstream,
    DrainUpstream: drain,
    RemoveUpstream: remove_upstream,
    SetField: set_field,
}
