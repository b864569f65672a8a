"""Test what an instance does for requests that wait while all engines are full."""

from __future__ import annotations

from typing import Final

import pytest

from tests.core.call_counts import count_calls
from tests.core.store_world import MODEL, StoreWorld, only
from turmericweir_core.base.request import WaitReason
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.load_messages import LoadNews, LoadRow
from turmericweir_core.placement import predicted_placement
from turmericweir_core.state import queue_state

SLOTS: Final = 64
WAITING: Final = 20
PEERS: Final = 16


def fill(world: StoreWorld, running: int = SLOTS, seq: int = 0) -> None:
    """Let a peer have requests in the slots of the engine."""
    world.peer("a-2", LoadNews("x", seq, [LoadRow("lm-1", [], running, 0)]))


def full_world() -> StoreWorld:
    """Return an instance with waiting requests and a full engine."""
    world = StoreWorld(engines=1)
    fill(world)
    for number in range(WAITING):
        assert not only(world.arrive(str(number), prompt_tokens=900), StartAttempt)
    return world


def test_full_engines_are_not_evaluated(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an instance without processor time because requests wait.
    world = full_world()
    counts = count_calls(monkeypatch, (predicted_placement, "_evaluate"))
    world.wait(0.1)
    assert not counts
    reasons = {each.wait_reason for each in world.state.requests.values()}
    assert reasons == {WaitReason.NO_ROOM}


def test_load_updates_of_many_peers_cause_few_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a pass over all that waits for each of hundreds of updates a second.
    world = full_world()
    passes = 0
    in_order = queue_state.queues_in_order

    def counted(queues: queue_state.QueueState, pool: str) -> list[queue_state.ClassQueue]:
        nonlocal passes
        passes += 1
        return in_order(queues, pool)

    monkeypatch.setattr(queue_state, "queues_in_order", counted)
    world.now += 1.0
    for number in range(PEERS):
        world.now += 0.001
        rows = [LoadRow("lm-1", [], 1, 0)]
        world.peer(f"b-{number}", LoadNews("x", 0, rows))
    assert passes == 1


def test_requests_go_on_when_a_peer_frees_slots() -> None:
    # Guards against requests that wait beside free slots.
    world = full_world()
    world.now += 1.0
    fill(world, SLOTS - 2, seq=1)
    world.wait(0.05)
    assert len(only(world.effects, StartAttempt)) == 2
    assert queue_state.waiting_count(world.state.queues, MODEL, "bulk") == WAITING - 2
