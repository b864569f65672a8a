"""Test that shares of customers cost and change nothing where the settings do not ask for them."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.core.call_counts import count_calls
from tests.core.customer_load import LARGE, SMALL, CustomerLoad, Sender
from tests.core.store_world import MODEL
from turmericweir_core.base.fair_share_options import FairShareOptions
from turmericweir_core.base.request import WaitReason
from turmericweir_core.messages.effects import SendDatagram, SendPeer
from turmericweir_core.messages.events import PeerReceived
from turmericweir_core.messages.fair_share_messages import (
    ClassShare,
    CustomerShare,
    ShareReport,
    ShareTotals,
)
from turmericweir_core.queueing import fair_share, fair_share_reports
from turmericweir_core.state.fair_share_state import FairShareState

# What counts served work, orders customers, or sums up reports.
_ACCOUNTING = (
    (fair_share, "shares_of"),
    (fair_share, "counter"),
    (fair_share, "served_ms"),
    (fair_share, "count_ahead"),
    (fair_share_reports, "own_classes"),
    (fair_share_reports, "_sum_reports"),
)
_PLAY_S = 5.0


def _new_load(*, is_enabled: bool) -> CustomerLoad:
    """Return a load of more than the engines hold."""
    load = CustomerLoad(instances=3)
    for world in load.worlds.values():
        options = FairShareOptions(is_enabled=is_enabled)
        world.state.options = replace(world.state.options, fair_share=options)
    names = tuple(load.worlds)
    load.senders = [Sender(customer, 0.6, names) for customer in SMALL]
    load.senders.append(Sender(LARGE, 19.0, names))
    return load


@pytest.mark.parametrize("is_enabled", [True, False], ids=["on", "off"])
def test_shares_are_counted_and_reported_only_where_they_are_on(
    is_enabled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against instances that report and sum up shares that nobody uses.
    counts = count_calls(monkeypatch, *_ACCOUNTING)
    load = _new_load(is_enabled=is_enabled)
    messages: list[str] = []

    def note(_: str, effect: SendDatagram | SendPeer) -> None:
        if isinstance(effect.message, ShareReport | ShareTotals):
            messages.append(type(effect.message).__name__)

    load.on_message = note
    load.play(_PLAY_S)
    assert any(call.outcome is not None for call in load.calls.values())
    assert bool(messages) is is_enabled
    for _, name in _ACCOUNTING:
        assert bool(counts[name]) is is_enabled, name


@pytest.mark.parametrize("message_type", [ShareReport, ShareTotals])
def test_shares_of_peers_hold_nothing_back_where_they_are_off(
    message_type: type[ShareReport] | type[ShareTotals],
) -> None:
    # Guards against requests that wait for other customers though no settings ask for it.
    load = _new_load(is_enabled=False)
    waiting = [CustomerShare(name, 0, 50, 50_000) for name in SMALL]
    reasons: set[WaitReason | None] = set()
    for _ in range(20):
        for name, world in load.worlds.items():
            other = next(each for each in load.worlds if each != name)
            sender = load.worlds[other].state.me.name
            rows = [ClassShare(MODEL, "chat", waiting)]
            assert world.give(PeerReceived(sender, message_type(rows))) == []
        load.play(0.2)
        for world in load.worlds.values():
            for request_id in world.state.queues.index:
                reasons.add(world.state.requests[request_id].wait_reason)
            assert world.state.fair_shares == FairShareState()
    assert WaitReason.NO_ROOM in reasons
    assert WaitReason.SHARE not in reasons
