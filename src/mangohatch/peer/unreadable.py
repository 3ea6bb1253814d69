"""Messages that this version does not understand, or not entirely."""

from enum import StrEnum
from typing import Any

import structlog
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.clock import Clock
from mangohatch.peer.codec import STRUCTS
from mangohatch.peer.counters import PeerCounters

__all__ = ["UnreadableCause", "UnreadableMessages", "find_unknown_fields"]

LOG_INTERVAL_MS = 60_000.0  # for each peer
MAX_PEERS = 1_000  # addresses of datagrams may be forged
# For each kind. A search takes about 20 times as long as decoding: 0.43 ms against
# 0.02 ms for a load report of 20 upstreams.
SEARCH_INTERVAL_MS = 60_000.0

log = structlog.get_logger()


class UnreadableCause(StrEnum):
    """Why a message is not understood."""

    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_FIELDS = "unknown_fields"


class UnreadableMessages:
    """
    Counts such messages, and logs them at most once a minute for each peer.

    Designed for upgrades, during which hosts of a newer version send kinds and fields
    that this one does not have, in every message. Unknown fields are skipped by the
    decoder, which does not report them; one message of each kind is searched for them
    every ``SEARCH_INTERVAL_MS``, and only these are counted.

    :param clock: source of time
    :param counters: receives the numbers
    """

    def __init__(self, *, clock: Clock, counters: PeerCounters) -> None:
        self._clock = clock
        self._counters = counters
        self._log_due_ms: dict[str, float] = {}
        self._search_due_ms: dict[str, float] = {}
        self._unlogged = 0

    def record(self, cause: UnreadableCause, *, peer: str, detail: str) -> None:
        """
        Count a message, and log it if no other one of the peer was logged lately.

        :param cause: why it is not understood
        :param peer: address or id of the sender
        :param detail: what was received, for the log
        """
        self._counters.unreadable[cause] += 1
        now_ms = self._clock.now_ms()
        if now_ms < self._log_due_ms.get(peer, 0.0) or not self._remember(peer, now_ms):
            self._unlogged += 1
            return
        log.warning(
            (
                "peer_message_malformed"
                if cause is UnreadableCause.MALFORMED
                else "peer_message_unknown"
            ),
            peer=peer,
            reason=str(cause),
            cause=detail,
            unlogged=self._unlogged,
        )
        self._unlogged = 0

    def search(self, kind: str, body: bytes, *, peer: str) -> None:
        """
        Search a message for unknown fields, if none of its kind was searched lately.

        :param kind: name of the struct
        :param body: the encoded struct, which the decoder has accepted
        :param peer: address or id of the sender
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._search_due_ms.get(kind, 0.0):
            return
        self._search_due_ms[kind] = now_ms + SEARCH_INTERVAL_MS
        found = find_unknown_fields(kind, body)
        if found:
            detail = f"fields {', '.join(found)}"
            self.record(UnreadableCause.UNKNOWN_FIELDS, peer=peer, detail=detail)

    def _remember(self, peer: str, now_ms: float) -> bool:
        if len(self._log_due_ms) >= MAX_PEERS and peer not in self._log_due_ms:
            self._log_due_ms = {
                name: due_ms
                for name, due_ms in self._log_due_ms.items()
                if due_ms > now_ms
            }
            if len(self._log_due_ms) >= MAX_PEERS:
                return False
        self._log_due_ms[peer] = now_ms + LOG_INTERVAL_MS
        return True


class SkippingProtocol(TCompactProtocol):
    """Skips binary fields, which are not valid text."""

    def readString(self) -> bytes:
        return self.readBinary()


def find_unknown_fields(kind: str, body: bytes) -> list[str]:
    """
    Find the fields of an encoded struct that this version does not have.

    :param kind: name of the struct
    :param body: the encoded struct, which the decoder has accepted
    :return: sorted names of structs with numbers of fields
    """
    found: set[str] = set()
    protocol = SkippingProtocol(TMemoryBuffer(body), len(body), len(body))
    search_struct(protocol, STRUCTS[kind], found)
    return sorted(found)


def search_struct(protocol: TCompactProtocol, generated: Any, found: set[str]) -> None:
    """
    Read a struct.

    :param protocol: source of the encoded struct
    :param generated: its generated class
    :param found: receives the unknown fields
    """
    known = {entry[0]: entry for entry in generated.thrift_spec if entry}
    protocol.readStructBegin()
    while True:
        _, kind, number = protocol.readFieldBegin()
        if kind == TType.STOP:
            break
        entry = known.get(number)
        if entry is None:
            found.add(f"{generated.__name__}.{number}")
        search_value(protocol, kind, entry[3] if entry else None, found)
        protocol.readFieldEnd()
    protocol.readStructEnd()


def search_value(
    protocol: TCompactProtocol, kind: int, arguments: object, found: set[str]
) -> None:
    """
    Read a value; only structs, and lists of them, are searched.

    :param protocol: source of the encoded value
    :param kind: a ``TType`` constant
    :param arguments: type arguments from the generated field table, None if unknown
    :param found: receives the unknown fields
    """
    if kind == TType.STRUCT and isinstance(arguments, list):
        search_struct(protocol, arguments[0], found)
    elif (
        kind == TType.LIST
        and isinstance(arguments, tuple)
        and isinstance(arguments[1], list)
    ):
        _, size = protocol.readListBegin()
        for _ in range(size):
            search_struct(protocol, arguments[1][0], found)
        protocol.readListEnd()
    else:
        protocol.skip(kind)
