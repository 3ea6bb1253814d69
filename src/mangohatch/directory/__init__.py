"""Configuration and upstreams from the store, read by few hosts for the whole fleet."""

from mangohatch.directory.follower import DirectoryFollower
from mangohatch.directory.part import DirectoryPart, PartItem
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.source import DirectorySource, PartReading

__all__ = [
    "DirectoryFollower",
    "DirectoryPart",
    "DirectorySource",
    "FollowerSettings",
    "PartItem",
    "PartReading",
]
