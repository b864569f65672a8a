"""Test how often placement repeats its work for requests that wait at the same time.

Where engines are full, an instance places its waiting requests again at each event, just when it
has the least processor time.
"""

from __future__ import annotations

import pytest

from tests.core.call_counts import count_calls
from tests.core.store_world import BULK, MODEL, QUICK, StoreWorld, only
from turmericweir_core.base.request import WaitReason
from turmericweir_core.engines import engine_pools
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.messages.effects import Effect, StartAttempt
from turmericweir_core.messages.events import Tick
from turmericweir_core.messages.load_messages import LoadNews, LoadRow
from turmericweir_core.placement import predicted_placement

_ENGINES = 5


def _new_full_world(waiting: int) -> StoreWorld:
    """Return a world of engines that a peer fills, with a number of waiting requests."""
    world = StoreWorld(engines=_ENGINES)
    _report_running(world, 1, 10_000)
    for number in range(waiting):
        assert not only(_arrive(world, f"w{number}"), StartAttempt)
    assert len(world.state.queues.index) == waiting
    return world


def _report_running(world: StoreWorld, seq: int, running: int) -> list[Effect]:
    """Have a peer report the requests that it runs on each engine."""
    rows = [LoadRow(f"lm-{number}", [], running, 0) for number in range(1, _ENGINES + 1)]
    return world.peer("a-2", LoadNews("y", seq, rows))


def _free_engines_for_long_prompts(world: StoreWorld) -> None:
    """Have a peer report that only the engines which waiting requests do not use have room."""
    state = world.state
    engines = list(open_servers(state, world.now, MODEL))
    req = world.request("long", service_class=BULK, prompt_tokens=17_000)
    free = {each.entry.name for each in engine_pools.engines_for(state, world.now, req, engines)}
    rows = [
        LoadRow(each.entry.name, [], 10_000, 0) for each in engines if each.entry.name not in free
    ]
    assert 0 < len(rows) < len(engines)
    assert not only(world.peer("a-2", LoadNews("y", 2, rows)), StartAttempt)


def _arrive(world: StoreWorld, name: str) -> list[Effect]:
    return world.arrive(
        name,
        service_class=QUICK,
        prompt_tokens=1_000,
        parts=((name, 1_000),),
        deadline=world.now + 30.0,
    )


@pytest.mark.parametrize("waiting", [2, 12])
def test_split_is_derived_once_for_all_that_wait(
    waiting: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a cost of the split into kinds that grows with the requests that wait.
    world = _new_full_world(waiting)
    _free_engines_for_long_prompts(world)
    counts = count_calls(monkeypatch, (engine_pools, "_sum_demand"), (engine_pools, "_make_groups"))
    world.now += 0.05
    world.give(Tick())
    assert counts == {"_sum_demand": 1, "_make_groups": 1}


@pytest.mark.parametrize("waiting", [2, 12])
def test_full_engines_are_not_compared(waiting: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against predictions for each engine and each request while none can take any.
    world = _new_full_world(waiting)
    counts = count_calls(monkeypatch, (predicted_placement, "_evaluate"))
    world.now += 0.05
    world.give(Tick())
    assert not counts
    waiting_requests = [world.state.requests[each] for each in world.state.queues.index]
    assert {each.wait_reason for each in waiting_requests} == {WaitReason.NO_ROOM}
    assert len(only(_report_running(world, 2, 0), StartAttempt)) == waiting
    assert counts["_evaluate"]
