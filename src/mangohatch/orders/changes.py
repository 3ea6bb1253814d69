"""What an order makes of a service."""

import json
from collections.abc import Callable
from typing import Any

from pydantic import ValidationError

from mangohatch.config import ServiceSpec
from mangohatch.config.loader import describe_problem
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
    Find the service that an order changes.

    :param order: the order
    :return: name of the service
    :raises OrderInvalid: when a declaration has no name
    """
    if not isinstance(order, DeclareService):
        return order.service
    name = read_document(order).get("name")
    if not isinstance(name, str):
        raise OrderInvalid("the declaration has no name")
    return name


def apply_order(order: OrderSentence, base: ServiceSpec | None) -> ServiceSpec:
    """
    Make the service that an order asks for.

    :param order: the order
    :param base: the service as it is; None when there is none
    :return: the checked service
    :raises OrderInvalid: when the order does not fit, or its result is not valid
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
    Check a service by the models that every host uses.

    :param document: the service
    :return: the checked service
    :raises OrderInvalid: with the path of each wrong value
    """
    try:
        return ServiceSpec.model_validate(document)
    except ValidationError as exc:
        problems = [describe_problem(item) for item in exc.errors()]
        raise OrderInvalid("; ".join(problems)) from exc


def read_document(order: DeclareService) -> Document:
    """
    Read the JSON of a declaration.

    :param order: the order
    :return: the service as declared
    :raises OrderInvalid: when it is no JSON object
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
    Find an upstream of a service.

    :param document: the service
    :param name: name of the upstream
    :return: the upstream, to be changed in place
    :raises OrderInvalid: when there is none
    """
    for upstream in document["upstreams"]:
        if upstream["name"] == name:
            return upstream
    raise OrderInvalid(f"service {document['name']} has no upstream {name}")


def drain(order: DrainUpstream, document: Document) -> None:
    """
    Mark an upstream as draining, or as active.

    :param order: the order
    :param document: the service, changed in place
    """
    find_upstream(document, order.upstream)["draining"] = order.draining


def set_field(order: SetField, document: Document) -> None:
    """
    Set a field of a service.

    :param order: the order
    :param document: the service, changed in place
    """
    *path, last = order.field.split(".")
    for part in path:
        document = document[part]
    document[last] = order.value


def add_upstream(order: AddUpstream, document: Document) -> None:
    """
    Add an upstream to a service.

    :param order: the order
    :param document: the service, changed in place
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

    :param order: the order
    :param document: the service, changed in place
    """
    document["upstreams"].remove(find_upstream(document, order.upstream))


CHANGES: dict[type, Callable[[Any, Document], None]] = {
    AddUpstream: add_upstream,
    DrainUpstream: drain,
    RemoveUpstream: remove_upstream,
    SetField: set_field,
}
