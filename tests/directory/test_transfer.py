"""Tests of payloads, pieces and pulls between two hosts."""

import random

from mangohatch.directory import PartItem
from mangohatch.directory.part import DirectoryPart
from mangohatch.directory.payload import Delta, Payload, PayloadCache
from mangohatch.directory.pieces import (
    MAX_PIECE_BYTES,
    PieceAssembler,
    count_pieces,
    make_piece,
)
from mangohatch.directory.puller import PULL_TIMEOUT_MS, PartPuller
from mangohatch.directory.ranking import ReaderRanking
from mangohatch.directory.sender import MAX_BURST_BYTES, MAX_BYTES_MS, PieceSender
from mangohatch.errors import PeerProtocolError
from mangohatch.peer.bus import MemberView, PeerBus
from mangohatch.peer.messages.directory import DirectoryMark, DirectoryPull
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


class RecordingBus(PeerBus):
    """Records sent messages; hosts in ``gone`` are not alive."""

    host_id = "h1"

    def __init__(self):
        self.sent = []
        self.gone = set()
        self.listed = (MemberView(host_id="h1", incarnation=1, zone="z"),)

    def members(self):
        return self.listed

    def send(self, host_id, message):
        if host_id in self.gone:
            return False
        self.sent.append((host_id, message))
        return True

    def broadcast(self, message):
        raise AssertionError("nothing is sent to all hosts")

    def subscribe(self, message_type, handler):
        pass

    def take(self):
        sent, self.sent = self.sent, []
        return sent


@fixture
def bus():
    return RecordingBus()


@fixture
def puller(bus, clock):
    return PartPuller(clock=clock, bus=bus, part=DirectoryPart(name="servers"))


def make_part(contents, *, revision=1, part=None):
    part = part or DirectoryPart(name="servers")
    items = [
        PartItem(name=name, revision=revision, json=text)
        for name, text in contents.items()
    ]
    part.update(items, revision=revision, read_ms=0.0, reading=revision)
    return part


def make_mark(part):
    return DirectoryMark(
        part=part.name,
        revision=part.revision,
        digest=part.digest,
        reading=part.reading,
    )


def make_pieces(part, base=0):
    cache = PayloadCache(part=part)
    cache.record_change()
    payload = cache.find(base)
    return [
        make_piece(payload, make_mark(part), number)
        for number in range(count_pieces(payload))
    ]


def make_text(seed, length):
    return random.Random(seed).randbytes(length // 2).hex()


def test_delta_holds_only_changed_items_and_names_of_removed_ones():
    part = make_part({"a": "1", "b": "2", "c": "3"})
    cache = PayloadCache(part=part)
    cache.record_change()
    before, digest = dict(part.items), part.digest
    make_part({"a": "1", "b": "new", "d": "4"}, revision=2, part=part)
    cache.record_change()
    delta = cache.find(digest).decode()
    assert sorted(item.name for item in delta.items) == ["b", "d"]
    assert list(delta.removed) == ["c"]
    merged = delta.apply(before)
    assert {item.name: item.json for item in merged} == {
        item.name: item.json for item in part.items.values()
    }


def test_host_with_an_unknown_copy_gets_a_full_copy():
    part = make_part({"a": "1", "b": "2"})
    cache = PayloadCache(part=part)
    cache.record_change()
    payload = cache.find(12345)
    assert payload.base == 0
    assert len(payload.decode().items) == 2


def test_content_is_compressed_once_for_all_pulls():
    cache = PayloadCache(part=make_part({"a": "1"}))
    cache.record_change()
    assert cache.find(0) is cache.find(0)


def test_single_item_larger_than_a_datagram_arrives_whole():
    part = make_part({"main": make_text(1, 300_000)})
    pieces = make_pieces(part)
    assert max(len(piece.data) for piece in pieces) <= MAX_PIECE_BYTES
    random.Random(2).shuffle(pieces)
    assembler = PieceAssembler()
    complete = [payload for piece in pieces if (payload := assembler.add(piece))]
    assert len(complete) == 1
    assert list(complete[0].decode().items) == list(part.items.values())


def test_interleaved_pieces_of_two_senders_do_not_discard_each_other():
    older = make_pieces(make_part({"main": make_text(1, 8_000)}, revision=1))
    newer = make_pieces(make_part({"main": make_text(2, 8_000)}, revision=2))
    assert len(older) == len(newer) > 2
    assembler = PieceAssembler()
    complete = [
        payload
        for pair in zip(older, newer, strict=True)
        for piece in pair
        if (payload := assembler.add(piece))
    ]
    assert len(complete) == 2


def test_payload_of_garbage_is_refused():
    for data in (b"", b"garbage", Payload.encode(Delta(items=[]), base=0).data[:-3]):
        try:
            Payload(base=0, data=data, digest=0).decode()
        except PeerProtocolError:
            continue
        raise AssertionError(data)


def test_digest_mismatch_leads_to_a_pull_of_a_full_copy(bus, clock, puller):
    part = make_part({"a": "1", "b": "2"}, revision=3)
    puller.offer("h2", make_mark(part))
    bus.take()
    cut = Payload.encode(Delta(items=[part.items["a"]]), base=0)
    assert puller.add(make_piece(cut, make_mark(part), 0)) is None
    ((receiver, pull),) = bus.take()
    assert (receiver, pull) == ("h2", DirectoryPull(part="servers", digest=0))
    items, _ = puller.add(make_pieces(part)[0])
    assert len(items) == 2


def test_delta_for_another_copy_leads_to_a_pull_of_a_full_copy(bus, clock):
    own = make_part({"a": "1"})
    puller = PartPuller(clock=clock, bus=bus, part=own)
    part = make_part({"a": "1", "b": "2"}, revision=3)
    puller.offer("h2", make_mark(part))
    assert bus.take()[0][1].digest == own.digest
    delta = Payload.encode(Delta(items=[part.items["b"]]), base=own.digest + 1)
    assert puller.add(make_piece(delta, make_mark(part), 0)) is None
    assert bus.take()[0][1].digest == 0


def test_lost_piece_is_requested_alone_from_the_next_host(bus, clock, puller):
    part = make_part({"main": make_text(1, 8_000)})
    pieces = make_pieces(part)
    puller.offer("h2", make_mark(part))
    puller.offer("h3", make_mark(part))
    assert [receiver for receiver, _ in bus.take()] == ["h2"]
    for piece in pieces[:1] + pieces[2:]:
        assert puller.add(piece) is None
    clock.advance(PULL_TIMEOUT_MS)
    puller.tick()
    ((receiver, pull),) = bus.take()
    assert receiver == "h3"
    assert (pull.payload, pull.missing) == (pieces[1].payload, [1])
    assert puller.add(pieces[1]) is not None


def test_older_content_is_requested_while_the_newest_is_not_answered(
    bus, clock, puller
):
    newest = make_part({"a": "3"}, revision=3)
    older = make_part({"a": "2"}, revision=2)
    puller.offer("h2", make_mark(newest))
    puller.offer("h3", make_mark(older))
    assert [receiver for receiver, _ in bus.take()] == ["h2"]
    asked = []
    for _ in range(2):
        clock.advance(PULL_TIMEOUT_MS)
        puller.tick()
        asked += [receiver for receiver, _ in bus.take()]
    assert sorted(asked) == ["h2", "h3"]
    assert puller.add(make_pieces(older)[0]) is not None
    assert puller.pending


def test_host_that_has_left_does_not_delay_a_pull(bus, clock, puller):
    part = make_part({"a": "1"})
    bus.gone = {"h3"}
    for name in ("h2", "h4", "h3"):
        puller.offer(name, make_mark(part))
    bus.take()
    clock.advance(PULL_TIMEOUT_MS)
    puller.tick()
    assert [receiver for receiver, _ in bus.take()] == ["h4"]


def test_many_pulls_at_once_do_not_fill_the_link_of_the_sender(bus, clock):
    part = make_part({"main": make_text(1, 80_000)})
    cache = PayloadCache(part=part)
    cache.record_change()
    payload = cache.find(0)
    sender = PieceSender(clock=clock, bus=bus, make_mark=make_mark)
    numbers = range(count_pieces(payload))
    for number in range(139):
        sender.serve(f"h{number}", part, payload, numbers)
    total = 0
    for ticks in range(1, 20):
        total += sum(len(piece.data) for _, piece in bus.take())
        bound = MAX_BURST_BYTES + MAX_PIECE_BYTES + ticks * 50.0 * MAX_BYTES_MS
        assert total <= bound, (ticks, total)
        clock.advance(50.0)
        sender.tick()
    # Whole copies for a few hosts, not the first pieces for all.
    assert total >= 2 * len(payload.data)
    assert total % len(payload.data) == 0


def test_rank_is_not_computed_while_the_members_stay_the_same(bus):
    ranking = ReaderRanking(bus=bus)
    assert (ranking.rank, ranking.count, ranking.others) == (0, 1, ())
    others = ranking.others
    assert ranking.others is others
    names = [f"h{number}" for number in range(10)]
    bus.listed = tuple(
        MemberView(host_id=name, incarnation=1, zone="z", leaving=name == "h5")
        for name in names
    )
    assert ranking.count == 9
    assert len(ranking.others) == 9
    assert ranking.rank + len(ranking.successors) == 8
