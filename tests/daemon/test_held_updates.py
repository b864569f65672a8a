"""Tests of the load updates that wait to be processed."""

from __future__ import annotations

from turmericweir.peers.held_updates import HELD_MAX_BYTES, HeldUpdates
from turmericweir.peers.peer_codec import encode
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.load_messages import LoadNews, LoadRow

_DATAGRAM_BYTES = 60_000
_PEERS = 319


def _update(sender: InstanceName, seq: int, size: int = _DATAGRAM_BYTES) -> bytes:
    rows = [LoadRow("x" * (size - 100), [], seq, 0)]
    return encode(sender, LoadNews("1", seq, rows))


def test_updates_of_unknown_many_wait_within_a_bound() -> None:
    # Guards against load updates of very many names that fill the memory.
    held = HeldUpdates()
    names = [InstanceName(f"entry-{number}") for number in range(1_000)]
    kept = sum(held.add(name, _update(name, 1), "") for name in names)
    assert _PEERS <= kept <= HELD_MAX_BYTES / (_DATAGRAM_BYTES - 100)


def test_newest_update_of_a_peer_is_held_though_there_is_no_room() -> None:
    # Guards against the old load of a peer that counts for as long as a flood lasts.
    held = HeldUpdates()
    peer = InstanceName("entry-2")
    assert held.add(peer, _update(peer, 1), "")
    number = 0
    while held.add(InstanceName(f"x{number}"), _update(InstanceName(f"x{number}"), 1), ""):
        number += 1
    for seq in range(2, 30):
        assert held.add(peer, _update(peer, seq), "")
    result, _, _ = held.pop()
    message = result.unwrap().message
    assert isinstance(message, LoadNews)
    assert message.seq == 29


def test_room_of_processed_updates_is_free() -> None:
    held = HeldUpdates()
    for number in range(1_000):
        name = InstanceName(f"entry-{number}")
        assert held.add(name, _update(name, 1), "")
        held.pop()
    assert not held
