"""Tests of documents on their way between instances."""

from __future__ import annotations

import pytest

from tests.core.store_world import StoreWorld, only
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import DecodeDocument, Log, SendDatagram, SendPeer
from turmericweir_core.messages.events import DocumentRead
from turmericweir_core.messages.settings_messages import DocumentAsk, DocumentProof, DocumentSend
from turmericweir_core.store import document_packing

RAW = b'{"routes":[' + b",".join(b'{"name":"route-%d"}' % n for n in range(1_400)) + b"]}"


def sender() -> tuple[StoreWorld, InstanceName]:
    """Return an instance with version 4 of a large document, and a peer of it."""
    world = StoreWorld()
    peer = world.know("b-1")
    world.give(DocumentRead(4, world.config(), RAW, world.now))
    return world, peer


def documents(world: StoreWorld, peer: InstanceName, ask: DocumentAsk) -> list[DocumentSend]:
    """Return the documents that an ask is answered with."""
    sent = only(world.peer(peer, ask), SendPeer)
    return [each.message for each in sent if isinstance(each.message, DocumentSend)]


def asked(world: StoreWorld, seconds: float) -> list[str]:
    """Return the peers that are asked for a document within a time."""
    sent = only(world.wait(seconds), SendDatagram)
    return [each.peer for each in sent if isinstance(each.message, DocumentAsk)]


def test_document_is_packed_for_the_links() -> None:
    """Guards against copies of a large document that fill a slow link for seconds."""
    world, peer = sender()
    (message,) = documents(world, peer, DocumentAsk(2, 1, can_unpack=True))
    assert message.is_packed
    assert len(message.raw) < len(RAW) / 5
    receiver = StoreWorld()
    (decode,) = only(receiver.peer(receiver.know("b-1"), message), DecodeDocument)
    assert decode.raw == RAW


def test_document_goes_unpacked_to_an_earlier_release() -> None:
    """Guards against an earlier release that cannot read the document."""
    world, peer = sender()
    assert documents(world, peer, DocumentAsk(2, 1)) == [DocumentSend(4, RAW)]


def test_document_is_not_sent_again_while_it_may_be_on_its_way() -> None:
    """Guards against a copy for each repeated request, which delays them all on a slow link."""
    world, peer = sender()
    assert documents(world, peer, DocumentAsk(2, 1, can_unpack=True))
    world.now += 0.3
    assert not documents(world, peer, DocumentAsk(2, 2, can_unpack=True))
    world.now += 0.6
    assert documents(world, peer, DocumentAsk(2, 3, can_unpack=True))


def test_newer_version_is_sent_beside_the_one_on_its_way() -> None:
    """Guards against a delay of the second of two versions in quick succession."""
    world, peer = sender()
    documents(world, peer, DocumentAsk(2, 1))
    world.give(DocumentRead(5, world.config(), b"five", world.now))
    assert documents(world, peer, DocumentAsk(4, 2)) == [DocumentSend(5, b"five")]


def test_other_peers_are_not_asked_for_a_document_that_is_being_sent() -> None:
    """Guards against several copies of one document on the link of the receiver."""
    world = StoreWorld()
    for number in range(1, 5):
        world.state.members.by_name[world.know(f"b-{number}")].settings_offset = 9
    first = asked(world, 0.1)
    assert len(first) == 1
    number = world.state.document.query_number if world.state.document else 0
    world.peer(first[0], DocumentProof(9, number, 0.0))
    assert not asked(world, 0.8)
    assert asked(world, 0.5)


def test_copy_of_the_version_in_force_is_not_decoded() -> None:
    """Guards against decoding a large document once for each copy that arrives."""
    world, peer = sender()
    assert only(world.peer(peer, DocumentSend(4, RAW)), DecodeDocument) == []
    assert only(world.peer(peer, DocumentSend(3, RAW)), DecodeDocument) == []


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"not packed",
        document_packing.pack(RAW)[:-9],
        document_packing.pack(bytes(document_packing.DOCUMENT_MAX_BYTES + 1)),
    ],
    ids=["empty", "other bytes", "cut off", "too large"],
)
def test_malformed_packed_document_is_refused(packed: bytes) -> None:
    """Guards against a fault or a full memory by a peer's document; the version stays."""
    world, peer = sender()
    effects = world.peer(peer, DocumentSend(9, packed, is_packed=True))
    assert [each.event for each in only(effects, Log)] == ["settings_unreadable"]
    assert not only(effects, DecodeDocument)
    assert world.state.settings_offset() == 4
