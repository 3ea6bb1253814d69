"""Read access to the configuration of this host, for orders."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable

from mangohatch.config import ServiceSpec
from mangohatch.core.tables import Tables
from mangohatch.state import ConfigTable
from mangohatch.state.items import SERVICE_KIND
from mangohatch.store.base import StoredObject
from mangohatch.store.operations import list_operations

__all__ = ["ConfigView", "TableView"]


class ConfigView(ABC):
    """Configuration as received and applied by this host."""

    @abstractmethod
    def known_revision(self, name: str) -> int:
        """
        Return the newest revision of a service that this host has received.

        :param name: name of the service
        :return: revision of the service or of its removal; 0 if none was received
        """

    @abstractmethod
    def active_revision(self, name: str) -> int:
        """
        Return the revision of a service with which this host serves requests.

        :param name: name of the service
        :return: the active revision; 0 if the service is not served
        """

    @abstractmethod
    def find(self, name: str) -> StoredObject | None:
        """
        Return the newest object of a service that this host has received.

        :param name: name of the service
        :return: the object; None if none was received or the service was removed
        """

    def order_of(self, name: str) -> str:
        """
        Return the order that wrote the newest received revision of a service.

        :param name: name of the service
        :return: id of the order; empty if unknown
        """
        order_id, *_ = list_operations(self.find(name)) or [""]
        return order_id

    @abstractmethod
    def services(self) -> Iterable[ServiceSpec]:
        """
        Return the active services.

        :return: specifications of the services
        """


class TableView(ConfigView):
    """
    View of the tables of this host.

    :param table: received objects with their revisions
    :param tables: tables of the decision core, which hold the active services
    """

    def __init__(self, *, table: ConfigTable, tables: Tables) -> None:
        self._table = table
        self._tables = tables

    def known_revision(self, name: str) -> int:
        return self._table.revision_of(SERVICE_KIND, name)

    def active_revision(self, name: str) -> int:
        row = self._tables.services.get(name)
        return row.revision if row is not None else 0

    def find(self, name: str) -> StoredObject | None:
        item = self._table.items.get(f"{SERVICE_KIND}/{name}")
        if item is None or item.deleted:
            return None
        return StoredObject(
            kind=SERVICE_KIND,
            name=name,
            revision=item.revision,
            value=json.loads(item.json),
        )

    def services(self) -> Iterable[ServiceSpec]:
        return [row.spec for row in self._tables.services.values()]
