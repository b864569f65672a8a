"""Test how instances share the pace of engines, without a network."""

from __future__ import annotations

from random import Random
from statistics import mean

import pytest
from msgspec.structs import replace

from tests.core.store_network import StoreNetwork
from tests.core.store_world import StoreWorld, datagrams, options, start_of
from tests.core.uneven_load import UnevenLoad
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.pace_options import PaceOptions
from turmericweir_core.base.store_times import derive_store_times
from turmericweir_core.engines import engine_model, engine_pace, load_merge
from turmericweir_core.messages.effects import SendPeer
from turmericweir_core.messages.load_messages import CachesAsk, CachesSend, LoadNews
from turmericweir_core.messages.pace_messages import PaceRow

ENGINE = ServerName("lm-1")
# Prefill times over the reference engine's.
UNEVEN = {"lm-1": 1.43, "lm-2": 1.43, "lm-3": 0.59}


def sharing_world(engines: int = 2) -> StoreWorld:
    world = StoreWorld(engines=engines)
    world.state.options = replace(options(), pace=PaceOptions(is_shared=True))
    return world


def pace_of(world: StoreWorld, engine: str = "lm-1") -> float:
    return engine_model.engine_info_of(world.state, ServerName(engine)).pace


def tell(world: StoreWorld, *rows: PaceRow, seq: int = 1) -> None:
    world.peer("a-2", LoadNews("y", seq, paces=list(rows)))


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (PaceRow("lm-1", "", 300, 1), 2.0),
        (PaceRow("lm-1", "", 300, 3), 2.5),
        # Bounded, whatever a peer claims.
        (PaceRow("lm-1", "", 10**9, 1), 24.5),
        (PaceRow("lm-1", "", -5, 1), 0.52),
        (PaceRow("lm-1", "", 300, 10**9), 2.78),
        # Nothing said of this engine.
        (PaceRow("lm-1", "", 300, 0), 1.0),
        (PaceRow("lm-1", "earlier", 300, 1), 1.0),
        (PaceRow("lm-9", "", 300, 1), 1.0),
    ],
)
def test_told_pace(row: PaceRow, expected: float) -> None:
    world = sharing_world()
    tell(world, row)
    assert pace_of(world) == pytest.approx(expected, rel=0.02)


def test_nothing_is_taken_or_told_where_paces_are_not_shared() -> None:
    world = StoreWorld(engines=1)
    world.know("a-2")
    tell(world, PaceRow("lm-1", "", 300, 4))
    assert pace_of(world) == 1.0
    start = start_of(world.arrive("r", prompt_tokens=17_000, parts=(("own", 17_000),)))
    world.sent(start)
    world.now += 2.0
    effects = world.begin(start) + world.wait(0.2)
    assert [each.message.paces for each in datagrams(effects) if isinstance(each.message, LoadNews)]
    assert all(
        not each.message.paces for each in datagrams(effects) if isinstance(each.message, LoadNews)
    )


def test_own_observation_is_told_once() -> None:
    world = sharing_world(engines=1)
    world.know("a-2")
    start = start_of(world.arrive("r", prompt_tokens=17_000, parts=(("own", 17_000),)))
    world.sent(start)
    world.now += 0.85
    effects = world.begin(start) + world.wait(1.0)
    rows = [
        row
        for each in datagrams(effects)
        if isinstance(each.message, LoadNews)
        for row in each.message.paces
    ]
    (row,) = rows
    assert (row.server, row.count) == ("lm-1", 1)
    assert row.percent > 150


def test_restarted_engine_has_no_pace() -> None:
    """Guards against the pace of an engine's predecessor under the same name."""
    world = sharing_world()
    tell(world, PaceRow("lm-1", "", 300, 8))
    engine_model.reset_engine(world.state, ENGINE)
    assert pace_of(world) == 1.0
    tell(world, PaceRow("lm-1", "", 300, 1), seq=2)
    assert pace_of(world) == pytest.approx(2.0)


def test_engine_without_observations_has_the_pace_of_the_others() -> None:
    """Guards against a new engine that all prefer because nothing is known of it."""
    world = sharing_world(engines=3)
    tell(world, PaceRow("lm-1", "", 300, 8), PaceRow("lm-2", "", 100, 8))
    engine_model.engine_info_of(world.state, ServerName("lm-3"))
    world.wait(0.1)
    assert pace_of(world, "lm-3") == pytest.approx((pace_of(world) + 1.0) / 2)


def test_updates_that_wait_together_keep_all_observations() -> None:
    one = LoadNews("y", 1, paces=[PaceRow("lm-1", "", 200, 1)])
    other = LoadNews("y", 2, paces=[PaceRow("lm-2", "", 50, 2)])
    assert load_merge.merge_updates(other, one).paces == [*one.paces, *other.paces]


def test_instance_that_starts_is_told_what_is_known() -> None:
    """Guards against a started instance that learns the pace of each engine anew."""
    old, new = sharing_world(), sharing_world()
    tell(old, PaceRow("lm-1", "", 300, 8))
    tell(old, PaceRow("lm-2", "", 300, 8), seq=2)
    old.know("a-9")
    (answer,) = [each for each in old.peer("a-9", CachesAsk()) if isinstance(each, SendPeer)]
    assert isinstance(answer.message, CachesSend)
    tell(new, PaceRow("lm-2", "", 100, 8))
    new.peer("a-1", answer.message)
    assert pace_of(new, "lm-1") == pytest.approx(pace_of(old, "lm-1"), rel=0.15)
    assert pace_of(new, "lm-2") == pytest.approx(1.0)


def test_work_leaves_an_engine_that_became_slow_before_it_answers() -> None:
    """Guards against prompts sent to an engine that has nearly stopped, until its first answer."""
    load = UnevenLoad({"lm-1": 1.0, "lm-2": 1.0}, is_shared=True, instances=2)
    load.send(rate_s=4.0, duration_s=4.0)
    load.run(4.0)
    load.factors["lm-1"] = 100.0
    load.send(rate_s=6.0, duration_s=3.0)
    load.run(1.0)
    stuck_s = load.work_s["lm-1"]
    load.run(2.0)
    assert load.work_s["lm-1"] == stuck_s


@pytest.mark.parametrize(("loss", "speed_up"), [(0.0, 1.0), (0.05, 1.0), (0.0, 4.0)])
def test_engines_of_uneven_speed_are_known_to_all(loss: float, speed_up: float) -> None:
    """Guards against an engine's pace that only instances with many requests to it know, and
    against one that is out of bounds where all engines are faster than the reference.
    """
    rng = Random(3)
    factors = {engine: factor / speed_up for engine, factor in UNEVEN.items()}
    load = UnevenLoad(
        factors,
        is_shared=True,
        instances=8,
        prompt_tokens=round(4_000 * speed_up),
        is_lost=lambda: rng.random() < loss,
    )
    load.send(rate_s=9.0, duration_s=6.0)
    load.run(7.0)
    for instance in load.worlds:
        for engine, factor in factors.items():
            assert load.pace(instance, engine) == pytest.approx(factor, rel=0.35)


@pytest.mark.parametrize("rate_s", [9.0, 15.0, 21.0])
def test_callers_wait_less_where_paces_are_shared(rate_s: float) -> None:
    """Guards against slow engines that get as much work as the others from most instances."""
    delays = {}
    for is_shared in (False, True):
        load = UnevenLoad(UNEVEN, is_shared, instances=8)
        load.send(rate_s, duration_s=12.0)
        load.run(25.0)
        delays[is_shared] = sorted(delay for _, _, delay in load.delays)
    assert len(delays[True]) == len(delays[False])
    assert mean(delays[True]) < mean(delays[False])
    assert delays[True][-len(delays[True]) // 20] < delays[False][-len(delays[False]) // 20]


def test_relays_pass_observations_on() -> None:
    """Guards against paces that only the instances behind one relay know."""
    network = StoreNetwork(derive_store_times(4.0, 4.0))
    network.options = replace(network.options, pace=PaceOptions(is_shared=True))
    network.start_all(72, 3)
    network.run(8.0)
    state = network.nodes["i005"].state
    server = state.servers.by_name[ENGINE]
    record = engine_model.engine_info_of(state, ENGINE)
    for _ in range(5):
        engine_pace.observe(state, server, record, 3.0)
    network.run(0.6)
    paces = [
        engine_model.engine_info_of(node.state, ENGINE).pace for node in network.nodes.values()
    ]
    assert paces == pytest.approx([record.pace] * 72, rel=0.1)
    # Each observation counts once.
    network.run(2.0)
    assert max(
        engine_model.engine_info_of(node.state, ENGINE).pace for node in network.nodes.values()
    ) == pytest.approx(record.pace, rel=0.1)
