"""What this host knows of the configuration, as orders need it."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable

from mangohatch.config import ServiceSpec
from mangohatch.core.tables import Tables
from mangohatch.state import ConfigTable
from mangohatch.state.items import SERVICE_KIND
from mangohatch.store.base import StoredObject
from mangohatch.store.operations import OPERATION_ID

__all__ = ["ConfigView", "TableView"]


class ConfigView(ABC):
    """Configuration of this host."""

    @abstractmethod
    def known_revision(self, name: str) -> int:
        """
        Tell the newest revision of a service that this host knows.

        :param name: name of the service
        :return: its revision, or that of its removal; 0 when it is not known
        """

    @abstractmethod
    def active_revision(self, name: str) -> int:
        """
        Tell the revision of a service by which this host serves requests.

        :param name: name of the service
        :return: its revision; 0 when it is not served
        """

    @abstractmethod
    def find(self, name: str) -> StoredObject | None:
        """
        Find the object of a service as this host knows it.

        :param name: name of the service
        :return: the object; None when it is not known or was removed
        """

    def order_of(self, name: str) -> str:
        """
        Tell which order wrote a service as this host knows it.

        :param name: name of the service
        :return: id of the order; empty when it is not known
        """
        found = self.find(name)
        return found.value.get(OPERATION_ID, "") if found is not None else ""

    @abstractmethod
    def services(self) -> Iterable[ServiceSpec]:
        """
        Iterate over the services in force.

        :return: their specifications
        """


class TableView(ConfigView):
    """
    The view over the tables of this host.

    :param table: objects by revision
    :param tables: tables of the decision core
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
