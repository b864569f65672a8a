"""Encoding and decoding of frames, server-sent events, state dumps and log lines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random

import msgpack
import pytest
from returns.pipeline import is_successful

from turmericweir.answers import sse
from turmericweir.operations.dump import dump
from turmericweir.peers.peer_codec import decode, encode
from turmericweir.process.logs import format_line
from turmericweir_core.base.config import Customer
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.credit_messages import CreditDemand, TierDemand
from turmericweir_core.messages.events import PeerReceived
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.messages.settings_messages import SettingsAsk, SettingsSend

ME = InstanceName("entry-1")
PEER = "127.0.0.1:1"


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(SettingsAsk(7), id="flat"),
        pytest.param(SettingsSend(3, [{"path": "/a", "value": None}], None), id="free values"),
        pytest.param(CreditDemand("lm-1", 1, 0, 8, [TierDemand(0, 2, 5)]), id="nested"),
    ],
)
def test_decoded_message_equals_the_encoded(message: PeerMessage) -> None:
    received = decode(encode(ME, message), PEER)
    assert received.unwrap() == PeerReceived(ME, message, PEER)


@pytest.mark.parametrize(
    ("data", "error"),
    [
        pytest.param(b"", "truncated", id="nothing"),
        pytest.param(b"\xc1", "malformed", id="no msgpack"),
        pytest.param(msgpack.packb([1, 2]), "length 3, got 2", id="two parts"),
        pytest.param(
            msgpack.packb(["a", 1, []]), "Expected `str`, got `int`", id="type is a number"
        ),
        pytest.param(msgpack.packb(["a", "Nonsense", []]), "no message is called", id="unknown"),
        pytest.param(
            msgpack.packb(["a", "SettingsAsk", []]), "at least length 1", id="field is missing"
        ),
        pytest.param(
            msgpack.packb(["a", "SettingsAsk", ["7"]]),
            "Expected `int`, got `str` - at `$[0]`",
            id="text for number",
        ),
        pytest.param(msgpack.packb(["a", "SettingsAsk", [b"7"]]), "SettingsAsk", id="bytes"),
    ],
)
def test_invalid_frame_is_a_failure(data: bytes, error: str) -> None:
    result = decode(data, PEER)
    assert not is_successful(result)
    assert error in str(result.failure())
    assert result.failure().peer == PEER


def token(text: str) -> bytes:
    """Return a token event."""
    return b"data: " + json.dumps({"choices": [{"delta": {"content": text}}]}).encode() + b"\n\n"


@pytest.mark.parametrize("step", [1, 2, 7, 1000])
def test_events_are_split_only_at_their_ends(step: int) -> None:
    stream = token("a") + b": still there\n\n" + token('data: [DONE]\n\n{"error"') + token("c")
    parts: list[bytes] = []
    partial = b""
    for start in range(0, len(stream), step):
        events, partial = sse.split_complete_events(partial + stream[start : start + step])
        if events:
            assert events.endswith(b"\n\n")
            # Control sequences within a token's text must be ignored.
            assert not events.endswith(sse.DONE)
            assert sse.events_before_error(events) is None
            parts.append(events)
    assert partial == b""
    assert b"".join(parts) == stream
    assert sum(map(sse.count_data_events, parts)) == 3
    assert sse.join_token_texts(parts, 2) == 'adata: [DONE]\n\n{"error"'


def test_error_event_is_not_a_token() -> None:
    error = b'data: {"error": {"type": "cancelled"}}\n\n'
    assert sse.events_before_error(token("a") + error) == token("a")
    assert sse.events_before_error(error) == b""


@dataclass(slots=True)
class SmallState:
    """A small replacement for the state."""

    rng: Random
    customers: dict[str, Customer]
    names: set[str]
    since: float


def test_dump_omits_token_digests() -> None:
    customer = Customer("shop-1", token_digests=("0" * 64,))
    value = dump(SmallState(Random(1), {"shop-1": customer}, {"b", "a"}, float("-inf")))
    text = json.dumps(value)
    assert "0" * 64 not in text
    assert value["customers"]["shop-1"]["name"] == "shop-1"
    assert value["names"] == ["a", "b"]
    assert value["since"] == "-inf"


def test_line_breaks_in_log_values_are_escaped() -> None:
    message = {
        "timestamp": 0.0,
        "message_type": "odd",
        "task_uuid": "x",
        "peer": "a",
        "error": 'two\nlines with "quotes"',
        "empty": "",
        "count": 3,
    }
    assert format_line(message) == (
        "time=1970-01-01T00:00:00.000+00:00 event=odd peer=a "
        'error="two\\nlines with \\"quotes\\"" empty="" count=3'
    )
