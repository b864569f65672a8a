"""Test which engines serve which prompts, by the token gaps that their streams tolerate."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.core.store_world import MODEL, QUICK, StoreWorld, model_route
from turmericweir_core.base.config import ServiceClass
from turmericweir_core.base.request import Request
from turmericweir_core.base.routes import build_route_table
from turmericweir_core.engines import engine_pools
from turmericweir_core.engines.engine_pools import PromptKind
from turmericweir_core.messages.load_messages import DemandRow, LoadNews
from turmericweir_core.state.server_table import Server

ENGINES = 12
CONFIRM = ServiceClass("confirm", priority=1, target_s=0.4, token_gap_target_s=0.15)
ADVICE = ServiceClass("advice", priority=1, target_s=0.6, token_gap_target_s=0.25)
QUOTE = ServiceClass("quote", priority=1, target_s=2.0, token_gap_target_s=0.6)


@pytest.fixture(name="world")
def fixture_world() -> StoreWorld:
    """Return a world of twelve engines with three-token events, and a peer's demand of
    all kinds.
    """
    world = StoreWorld(engines=ENGINES)
    split = engine_pools.engines_for(
        world.state, world.now, request(world, CONFIRM, 1_400), servers(world)
    )
    assert split
    world.state.pools.splits[MODEL].lowest_gap_target_s = CONFIRM.token_gap_target_s
    report_demand(world, 1, long_ms=2_400, quick_ms=1_200, middle_ms=1_200)
    return world


def report_demand(
    world: StoreWorld, seq: int, *, long_ms: int, quick_ms: int, middle_ms: int
) -> None:
    """Have a peer report its demand."""
    row = DemandRow(MODEL, long_ms, quick_ms, [], middle_ms)
    world.peer("a-2", LoadNews("y", seq, [], [], [row]))


def request(world: StoreWorld, service_class: ServiceClass, tokens: int) -> Request:
    """Return a request of a class."""
    return world.request(service_class.name, service_class=service_class, prompt_tokens=tokens)


def servers(world: StoreWorld) -> list[Server]:
    """Return the engines."""
    return [each for each in world.state.servers.by_name.values() if each.service.name == "lm"]


def engine_names_for(world: StoreWorld, service_class: ServiceClass, tokens: int) -> set[str]:
    """Return the names of the engines for a request."""
    engines = engine_pools.engines_for(
        world.state, world.now, request(world, service_class, tokens), servers(world)
    )
    return {each.entry.name for each in engines}


def test_medium_prompts_have_separate_engines(world: StoreWorld) -> None:
    """Guards against late events of streams beside prefills of medium prompts."""
    short_engines = engine_names_for(world, CONFIRM, 1_400)
    medium_engines = engine_names_for(world, ADVICE, 9_000)
    prefill_engines = engine_names_for(world, QUOTE, 17_000)
    assert short_engines
    assert medium_engines
    assert prefill_engines
    assert not short_engines & medium_engines
    assert not (short_engines | medium_engines) & prefill_engines


def test_prompt_within_one_event_shares_decode_engines(world: StoreWorld) -> None:
    """Guards against separating prompts whose prefill fits into an event."""
    assert engine_names_for(world, ADVICE, 2_000) == engine_names_for(world, CONFIRM, 1_400)


def test_streams_with_equal_gaps_share_engines(world: StoreWorld) -> None:
    """Guards against separate medium engines where no stream has a shorter gap target."""
    world.state.pools.splits[MODEL].lowest_gap_target_s = ADVICE.token_gap_target_s
    kind = engine_pools.prompt_kind(
        world.state, request(world, ADVICE, 9_000), servers(world)[0].service
    )
    assert kind is PromptKind.SHORT


def test_more_long_prompts_do_not_move_decode_engines(world: StoreWorld) -> None:
    """Guards against moving decode engines with running streams in a burst of long prompts."""
    short_engines = engine_names_for(world, CONFIRM, 1_400)
    report_demand(world, 2, long_ms=3_000, quick_ms=1_200, middle_ms=1_200)
    assert engine_names_for(world, CONFIRM, 1_400) == short_engines


def test_medium_prompts_share_the_only_decode_engine(world: StoreWorld) -> None:
    """Guards against a missing engine for medium prompts where only two are left."""
    two_engines = servers(world)[:2]
    engines = engine_pools.engines_for(
        world.state, world.now, request(world, ADVICE, 9_000), two_engines
    )
    assert len(engines) == 1


def test_medium_prompts_spill_to_prefill_engines(world: StoreWorld) -> None:
    """Guards against spilling medium prompts to decode engines."""
    prefill_engines = engine_names_for(world, QUOTE, 17_000)
    spilled = engine_pools.spill_engines(
        world.state, world.now, request(world, ADVICE, 9_000), servers(world)
    )
    assert {each.entry.name for each in spilled} == prefill_engines


def test_spare_engines_are_shared_by_demand() -> None:
    """Guards against overloading few decode engines while prefill engines are idle."""
    world = StoreWorld(engines=40)
    prefill_engines: set[str] = set()
    for seq in range(1, 40):
        report_demand(world, seq, long_ms=2_400, quick_ms=1_200, middle_ms=1_200)
        prefill_engines = engine_names_for(world, QUOTE, 17_000)
        world.now += 1.0
    assert len(prefill_engines) == 13


def test_needed_engines_are_assigned_at_once(world: StoreWorld) -> None:
    """Guards against a slow change of the split where engines are needed."""
    engines_before = engine_names_for(world, QUOTE, 17_000)
    report_demand(world, 2, long_ms=4_700, quick_ms=600, middle_ms=600)
    assert len(engine_names_for(world, QUOTE, 17_000)) == 8 >= len(engines_before)


def test_demand_includes_observed_answer_duration(world: StoreWorld) -> None:
    """Guards against planning engines by estimates that long answers exceed."""
    req = request(world, CONFIRM, 1_400)
    req.expected_tokens = 50
    engine_pools.record_demand(world.state, world.now, req, servers(world))
    (estimated,) = engine_pools.demand_rows(world.state, world.now)
    world.state.pools.local_demand.clear()
    engine_pools.record_generated(world.state, req, 6.4)
    engine_pools.record_demand(world.state, world.now, req, servers(world))
    (learnt,) = engine_pools.demand_rows(world.state, world.now)
    slots = servers(world)[0].slots
    assert learnt.short_prompt_ms_s - estimated.short_prompt_ms_s == pytest.approx(
        (6_400 - 50 * world.state.options.decode_step_ms) / slots / 3.0, abs=1.0
    )


@pytest.mark.parametrize("gap_target_s", [0.1, 0.8])
def test_routes_of_one_kind_use_all_engines(world: StoreWorld, gap_target_s: float) -> None:
    # Guards against engines that stand idle for a kind of request that no route has, while the
    # requests of the other kind are refused.
    service_class = replace(QUICK, token_gap_target_s=gap_target_s)
    routes = build_route_table([model_route(service_class, timeout_s=6.0)])
    world.state.config = replace(world.state.config, offset=2, routes=routes)
    report_demand(world, 2, long_ms=0, quick_ms=1_200, middle_ms=0)
    assert len(engine_names_for(world, service_class, 900)) == ENGINES


def test_engine_that_is_listed_anew_is_used_in_place_of_its_former_record(
    world: StoreWorld,
) -> None:
    # Guards against requests that are counted at an engine's record that is no longer listed.
    req = request(world, CONFIRM, 1_400)
    engine_pools.engines_for(world.state, world.now, req, servers(world))
    listed = [replace(each) for each in servers(world)]
    chosen = engine_pools.engines_for(world.state, world.now, req, listed)
    assert chosen
    assert {id(each) for each in chosen} <= {id(each) for each in listed}
