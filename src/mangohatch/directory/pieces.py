"""Parts of the directory on their way between hosts."""

from collections.abc import Sequence

from mangohatch.directory.part import DirectoryPart, PartItem, compute_digest
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.peer.messages.directory import DirectoryMark, DirectoryPiece

__all__ = ["PartAssembler", "split_part"]

MAX_PIECE_BYTES = 8_000  # fits a datagram also where fragments are lost often


def split_part(part: DirectoryPart, mark: DirectoryMark) -> list[DirectoryPiece]:
    """
    Cut a part into messages.

    :param part: the part
    :param mark: states what is sent
    :return: at least one piece
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
    """Collects the pieces of one reading; those of another start anew."""

    def __init__(self) -> None:
        self._pieces: dict[int, DirectoryPiece] = {}
        self._key = (0, 0)

    def add(self, piece: DirectoryPiece) -> Sequence[PartItem] | None:
        """
        Take a piece.

        :param piece: the piece
        :return: all items once the part is whole, None before, and for pieces that do
            not belong together
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
