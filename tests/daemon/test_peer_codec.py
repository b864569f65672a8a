"""Tests of the codec for frames between instances."""

from __future__ import annotations

import msgpack
import pytest
from returns.pipeline import is_successful

from turmericweir.peers.peer_codec import decode, encode
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.membership_messages import (
    Heartbeat,
    Mark,
    MemberRecord,
    MembersSend,
    Word,
)
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.messages.server_messages import ServersSend
from turmericweir_core.messages.settings_messages import SettingsSend

SENDER = InstanceName("entry-1")
HEARTBEAT = Heartbeat(
    data_centre="north",
    address="10.0.0.1:7000",
    incarnation="a",
    seq=9,
    leaving=False,
    settings_offset=3,
    settings_hash="f0",
    members_hash=1 << 31,
    newest_offset=3,
    counters="\x00\x7f",
    entries=[1, 2, 0],
    status_messages=[Word("south", 5, 6, 7, 8, 9)],
    leaving_notices=[Mark("engine", "1", True, 4)],
)
MESSAGES: list[PeerMessage] = [
    HEARTBEAT,
    MembersSend("north", 0, [MemberRecord("b", "north", "east", "10.0.0.2:1", "x", False, ["w"])]),
    ServersSend(1.5, [ServerEntry(ServerName("engine"), "lm", "north", "10.0.0.3:1", "1", True)]),
    SettingsSend(4, [{"type": "change"}], {"offset": 4}),
    SettingsSend(4),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda it: type(it).__name__)
def test_decoded_message_equals_the_encoded_one(message: PeerMessage) -> None:
    # Guards against fields that are lost or changed between encoder and decoder.
    event = decode(encode(SENDER, message), "10.0.0.1:7000").unwrap()

    assert event.sender == SENDER
    assert event.message == message


def test_messages_of_earlier_and_later_releases_are_decoded() -> None:
    # Guards against rejecting messages during a rolling upgrade.
    sender, name, values = msgpack.unpackb(encode(SENDER, HEARTBEAT))
    longer = msgpack.packb([sender, name, [*values, "from a later release"]])
    shorter = msgpack.packb([sender, name, values[:8]])

    assert decode(longer, "peer").unwrap().message == HEARTBEAT
    message = decode(shorter, "peer").unwrap().message
    assert isinstance(message, Heartbeat)
    assert message.members_hash == HEARTBEAT.members_hash
    assert message.status_messages == []


INVALID_FRAMES: dict[str, bytes] = {
    "nothing": b"",
    "text": b"GET / HTTP/1.1\r\n\r\n",
    "no array": msgpack.packb({"a": 1}),
    "too short": msgpack.packb(["entry-1", "Heartbeat"]),
    "unknown type": msgpack.packb(["entry-1", "Farewell", []]),
    "fields missing": msgpack.packb(["entry-1", "Heartbeat", ["north"]]),
    "fields of other types": msgpack.packb(["entry-1", "Heartbeat", [1, 2, 3, "4", 5, 6, 7]]),
    "a map instead of fields": msgpack.packb(["entry-1", "Heartbeat", {"seq": 1}]),
    "a number instead of words": msgpack.packb(
        ["entry-1", "Heartbeat", ["n", "a", "i", 1, False, 0, "", *[0] * 8, "", "", [], 7]]
    ),
    "cut off": encode(SENDER, HEARTBEAT)[:-5],
}


@pytest.mark.parametrize("data", INVALID_FRAMES.values(), ids=INVALID_FRAMES.keys())
def test_invalid_frame_is_rejected_with_its_origin(data: bytes) -> None:
    # Guards against exceptions and invalid messages from data of the network.
    result = decode(data, "10.0.0.9:1")

    assert not is_successful(result)
    assert result.failure().peer == "10.0.0.9:1"
