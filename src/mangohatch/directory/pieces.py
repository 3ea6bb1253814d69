"""Splits parts of the directory into messages and reassembles them."""

from collections.abc import Sequence

from mangohatch.directory.part import DirectoryPart, PartItem, compute_digest
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.peer.messages.directory import DirectoryMark, DirectoryPiece

__all__ = ["PartAssembler", "split_part"]

MAX_PIECE_BYTES = 8_000  # a datagram of it arrives even if IP fragments are often lost


def split_part(part: DirectoryPart, mark: DirectoryMark) -> list[DirectoryPiece]:
    """
    Split a part into messages.

    :param part: the part
    :param mark: version mark of the part
    :return: the pieces, at least one
    """
    groups: list[list[ConfigItem]] = [[]]
    size = 0
    for item in part.items.values():
        if size and size + len(item.json) > MAX_PIECE_BYTES:
            groups.append([])
            size = 0
        size += len(item.json)
        groups[-1].append(
            ConfigItem(
                kind=part.name, name=item.name, revision=item.revision, json=item.json
            )
        )
    return [
        DirectoryPiece(mark=mark, number=number, count=len(groups), items=group)
        for number, group in enumerate(groups)
    ]


class PartAssembler:
    """
    Reassembles a part from its pieces.

    A piece with another revision or digest than those before it discards them.
    """

    def __init__(self) -> None:
        self._pieces: dict[int, DirectoryPiece] = {}
        self._key = (0, 0)

    def add(self, piece: DirectoryPiece) -> Sequence[PartItem] | None:
        """
        Add a received piece.

        :param piece: the piece
        :return: all items once the part is complete; None as long as pieces are
            missing, or if the digest shows that the pieces don't belong together
        """
        key = (piece.mark.revision, piece.mark.digest)
        if key != self._key:
            self._key = key
            self._pieces = {}
        self._pieces[piece.number] = piece
        if len(self._pieces) < piece.count:
            return None
        items = [
            PartItem(name=item.name, revision=item.revision, json=item.json)
            for part in self._pieces.values()
            for item in part.items
        ]
        self._pieces = {}
        return items if compute_digest(items) == piece.mark.digest else None
