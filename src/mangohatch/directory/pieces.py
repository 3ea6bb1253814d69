"""Splits payloads into messages and reassembles them."""

from collections.abc import Sequence

from mangohatch.directory.payload import Payload
from mangohatch.peer.messages.directory import DirectoryMark, DirectoryPiece

__all__ = ["PieceAssembler", "count_pieces", "make_piece"]

MAX_PIECE_BYTES = 1_200  # with headers below the 1,500 bytes of an Ethernet frame
MAX_SETS = 4  # payloads that arrive at the same time
MAX_PIECES = 65_536  # bounds the memory for a malformed piece
MAX_MISSING = 256  # numbers in one pull


def count_pieces(payload: Payload) -> int:
    """
    Count the pieces of a payload.

    :param payload: the payload
    :return: number of pieces, at least one
    """
    return max(1, -(-len(payload.data) // MAX_PIECE_BYTES))


def make_piece(payload: Payload, mark: DirectoryMark, number: int) -> DirectoryPiece:
    """
    Make a message with one piece of a payload.

    :param payload: the payload
    :param mark: version mark of the content
    :param number: number of the piece, from 0
    :return: the message
    """
    start = number * MAX_PIECE_BYTES
    return DirectoryPiece(
        mark=mark,
        base=payload.base,
        payload=payload.digest,
        number=number,
        count=count_pieces(payload),
        data=payload.data[start : start + MAX_PIECE_BYTES],
    )


class PieceAssembler:
    """
    Reassembles payloads from their pieces.

    Pieces are collected by the digest of the payload, so pieces of different senders
    or revisions can arrive interleaved, and those of equal payloads complete each
    other.
    """

    def __init__(self) -> None:
        self._sets: dict[int, dict[int, bytes]] = {}
        self._counts: dict[int, int] = {}

    def add(self, piece: DirectoryPiece) -> Payload | None:
        """
        Add a received piece.

        :param piece: the piece
        :return: the payload once it is complete; None while pieces are missing, or if
            the digest shows that the pieces don't belong together
        """
        if not 0 <= piece.number < piece.count <= MAX_PIECES:
            return None
        key = piece.payload
        if self._counts.get(key) != piece.count:
            self._sets[key] = {}
            self._counts[key] = piece.count
            self._drop_oldest()
        pieces = self._sets[key]
        pieces[piece.number] = piece.data
        if len(pieces) < piece.count:
            return None
        del self._sets[key], self._counts[key]
        data = b"".join(pieces[number] for number in range(piece.count))
        if Payload.compute_digest(data) != key:
            return None
        return Payload(base=piece.base, data=data, digest=key)

    def list_missing(self, payload: int) -> Sequence[int]:
        """
        List the pieces of a payload that have not arrived.

        :param payload: digest of the payload
        :return: numbers of the pieces, at most ``MAX_MISSING``; empty if none arrived
        """
        pieces = self._sets.get(payload, {})
        missing = (
            number
            for number in range(self._counts.get(payload, 0))
            if number not in pieces
        )
        return [number for number, _ in zip(missing, range(MAX_MISSING), strict=False)]

    def _drop_oldest(self) -> None:
        if len(self._sets) > MAX_SETS:
            oldest = next(iter(self._sets))
            del self._sets[oldest], self._counts[oldest]
