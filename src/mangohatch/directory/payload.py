"""Encodes the content of a part, or its changes since an earlier content, as bytes."""

import json
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from mangohatch.directory.part import DirectoryPart, PartItem
from mangohatch.errors import PeerProtocolError

__all__ = ["ContentHistory", "Delta", "Payload", "PayloadCache"]

HISTORY_LENGTH = 8  # contents; at two changes a second, 4 s of them
MAX_CONTENT_BYTES = 64_000_000  # bounds the memory for a malformed payload
COMPRESSION_LEVEL = 6


@dataclass(slots=True, kw_only=True, frozen=True)
class Delta:
    """Items that were added or changed, and the names of those removed."""

    items: Sequence[PartItem]
    removed: Sequence[str] = ()

    def apply(self, items: Mapping[str, PartItem]) -> list[PartItem]:
        """
        Apply the changes.

        :param items: the content that the changes refer to
        :return: the items after the changes
        """
        merged = dict(items)
        for name in self.removed:
            merged.pop(name, None)
        merged.update((item.name, item) for item in self.items)
        return list(merged.values())


@dataclass(slots=True, kw_only=True, frozen=True)
class Payload:
    """
    A compressed delta.

    ``base`` is the digest of the content it refers to, 0 for a full copy.
    """

    base: int
    data: bytes
    digest: int

    @classmethod
    def encode(cls, delta: Delta, *, base: int) -> "Payload":
        """
        Compress a delta.

        :param delta: the changes
        :param base: digest of the content that they refer to, 0 for none
        :return: the payload
        """
        rows = sorted([item.name, item.revision, item.json] for item in delta.items)
        text = json.dumps([rows, sorted(delta.removed)], separators=(",", ":"))
        data = zlib.compress(text.encode(), COMPRESSION_LEVEL)
        return cls(base=base, data=data, digest=cls.compute_digest(data))

    @staticmethod
    def compute_digest(data: bytes) -> int:
        """
        Compute the digest of a payload.

        :param data: the compressed bytes
        :return: digest of 63 bits
        """
        return xxhash.xxh3_64_intdigest(data) >> 1

    def decode(self) -> Delta:
        """
        Decompress the delta.

        :return: the changes
        :raises PeerProtocolError: if the bytes are not a delta
        """
        try:
            inflater = zlib.decompressobj()
            text = inflater.decompress(self.data, MAX_CONTENT_BYTES)
            if not inflater.eof:
                raise PeerProtocolError("directory content is cut or too large")
            rows, removed = json.loads(text)
            items = [
                PartItem(name=str(name), revision=int(revision), json=str(content))
                for name, revision, content in rows
            ]
            return Delta(items=items, removed=[str(name) for name in removed])
        except (zlib.error, ValueError, TypeError) as exc:
            raise PeerProtocolError(f"directory content is malformed: {exc}") from exc


class ContentHistory:
    """
    Hashes of the items of the latest contents of a part, by digest of the content.

    Deltas are computed from the contents themselves. Revisions of items don't suffice,
    because a removed item has none.
    """

    def __init__(self) -> None:
        self._contents: dict[int, dict[str, int]] = {}

    def record(self, part: DirectoryPart) -> None:
        """
        Add the current content.

        :param part: the part
        """
        self._contents.pop(part.digest, None)
        self._contents[part.digest] = {
            item.name: xxhash.xxh3_64_intdigest(item.json.encode())
            for item in part.items.values()
        }
        if len(self._contents) > HISTORY_LENGTH:
            del self._contents[next(iter(self._contents))]

    def __contains__(self, digest: int) -> bool:
        return digest in self._contents

    def make_delta(self, part: DirectoryPart, base: int) -> Delta:
        """
        Compute the changes since an earlier content.

        :param part: the part with its current content, which has been recorded
        :param base: digest of the earlier content; 0 for a full copy
        :return: the changes
        :raises KeyError: if the earlier content is not in the history
        """
        if not base:
            return Delta(items=list(part.items.values()))
        before = self._contents[base]
        after = self._contents[part.digest]
        return Delta(
            items=[
                item
                for item in part.items.values()
                if before.get(item.name) != after[item.name]
            ],
            removed=[name for name in before if name not in after],
        )


class PayloadCache:
    """
    Payloads of the current content of a part, each compressed once.

    :param part: the part
    """

    def __init__(self, *, part: DirectoryPart) -> None:
        self._part = part
        self._history = ContentHistory()
        self._payloads: dict[int, Payload] = {}

    def record_change(self, received: Payload | None = None) -> None:
        """
        Record new content.

        :param received: the payload by which it arrived, None after a reading
        """
        self._history.record(self._part)
        self._payloads.clear()
        if received is not None:
            self._payloads[received.base] = received

    def find(self, base: int) -> Payload:
        """
        Return the payload for a host.

        :param base: digest of the host's copy, 0 for none
        :return: the changes since that copy, or a full copy if it is unknown here
        """
        if base not in self._history:
            base = 0
        payload = self._payloads.get(base)
        if payload is None:
            delta = self._history.make_delta(self._part, base)
            payload = self._payloads[base] = Payload.encode(delta, base=base)
        return payload
