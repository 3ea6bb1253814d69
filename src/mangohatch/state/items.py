"""Conversion between objects of the store, items sent to peers and models."""

import json
from typing import Any

from pydantic import ValidationError

from mangohatch.config import ServiceSpec
from mangohatch.errors import MangohatchError
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.store.base import StoredObject
from mangohatch.store.operations import OPERATION_FIELDS

__all__ = [
    "SERVICE_KIND",
    "ConfigRejected",
    "item_key",
    "to_config_item",
    "read_service",
    "service_value",
]

SERVICE_KIND = "service"


class ConfigRejected(MangohatchError):
    """An object of the store is not a valid configuration and was not applied."""

    code = "config_rejected"


def item_key(kind: str, name: str) -> str:
    """
    Return the key of an object, unique over all kinds.

    :param kind: kind of object
    :param name: name within the kind
    :return: ``kind/name``
    """
    return f"{kind}/{name}"


def to_config_item(stored: StoredObject) -> ConfigItem:
    """
    Convert an object of the store to the item that is sent to peers.

    :param stored: an object of the store
    :return: the item
    """
    return ConfigItem(
        kind=stored.kind,
        name=stored.name,
        revision=stored.revision,
        json=json.dumps(stored.value, sort_keys=True),
    )


def service_value(spec: ServiceSpec) -> dict[str, Any]:
    """
    Return the stored form of a service specification.

    :param spec: specification of the service
    :return: a JSON object without an operation id
    """
    return spec.model_dump(mode="json")


def read_service(item: ConfigItem) -> ServiceSpec:
    """
    Parse and validate an item of kind ``service``.

    :param item: the item
    :return: specification of the service
    :raises ConfigRejected: the value is not a valid service of that name
    """
    try:
        value = json.loads(item.json)
        for name in OPERATION_FIELDS:
            value.pop(name, None)
        spec = ServiceSpec.model_validate(value)
    except (AttributeError, TypeError, ValueError, ValidationError) as exc:
        raise ConfigRejected(f"service/{item.name}: {exc}") from exc
    if spec.name != item.name:
        raise ConfigRejected(f"service/{item.name} holds service {spec.name}")
    return spec
