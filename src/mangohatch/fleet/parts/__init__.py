"""The parts of a fleet host."""

from mangohatch.fleet.parts.accounts import ClientAccounts
from mangohatch.fleet.parts.directory import DirectoryReading, TableUpdates
from mangohatch.fleet.parts.entry import CallerEntry
from mangohatch.fleet.parts.hedging import Hedging
from mangohatch.fleet.parts.pages import TextPages
from mangohatch.fleet.parts.peers import PeerLink
from mangohatch.fleet.parts.probing import LoadProbing
from mangohatch.fleet.parts.relays import Relays
from mangohatch.fleet.parts.retries import Retries
from mangohatch.fleet.parts.routing import Routing
from mangohatch.fleet.parts.zones import Zones

__all__ = [
    "CallerEntry",
    "ClientAccounts",
    "DirectoryReading",
    "Hedging",
    "LoadProbing",
    "PeerLink",
    "Relays",
    "Retries",
    "Routing",
    "TableUpdates",
    "TextPages",
    "Zones",
]
