"""Placement of models by settings and averaged demand, without flapping."""

from __future__ import annotations

import re
from itertools import pairwise
from random import Random
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.model_world import SLOTS, World
from turmericweir_core.base.config import ModelReplicas
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel, label_model_name, parse_model_label
from turmericweir_core.base.options import Options
from turmericweir_core.leases import lease_flow
from turmericweir_core.leases.model_placement import (
    Bounds,
    CountInput,
    Holding,
    choose_count,
    choose_servers,
    data_centre_share,
    note_demand,
)
from turmericweir_core.leases.order_steps import WantedModel, orders_for_model
from turmericweir_core.records.lease_record import LeaseScope
from turmericweir_core.state.model_state import ModelTarget, ModelUsage

SCOPE: Final = LeaseScope("lm", "dc-1")
OPTIONS: Final = Options()
# Long enough for all pending orders.
SETTLE_S: Final = 300.0


# --- order steps, data-driven -----------------------------------------------------------------


def read_holding(line: str) -> Holding:
    match = re.fullmatch(r"server (\S+) has ?(.*?)(?: ?loading (.*))?", line)
    assert match is not None, line
    loaded = tuple(parse_model_label(text) for text in match[2].split())
    loading = tuple(parse_model_label(text) for text in (match[3] or "").split())
    return Holding(ServerName(match[1]), SLOTS, loaded, loading)


def read_want(line: str) -> WantedModel:
    match = re.fullmatch(r"want (\S+) (\S+) on ?(.*?) ?least (\d+)( missing)?", line)
    assert match is not None, line
    servers = frozenset(ServerName(name) for name in match[3].split())
    return WantedModel(match[1], match[2], servers, int(match[4]), missing=bool(match[5]))


@pytest.mark.parametrize("case", load_cases("model_steps.test"), ids=str)
def test_steps(case: Case) -> None:
    lines = case.lines("in")
    holdings = [read_holding(line) for line in lines if line.startswith("server")]
    out: list[str] = []
    for line in lines:
        if line.startswith("want"):
            for order in orders_for_model(SCOPE, read_want(line), holdings):
                flags = [" urgent"] * order.is_urgent + [" follows"] * order.is_follow_up
                out.append(f"{order.kind} {order.server} {order.label}{''.join(flags)}")
    check_lines(case, out)


def test_labels() -> None:
    assert parse_model_label("lm@2+fr") == ModelLabel("lm", "2", "fr")
    assert str(parse_model_label("lm@2+fr")) == "lm@2+fr"
    assert label_model_name("lm+fr") == label_model_name("lm@3") == label_model_name("lm") == "lm"


# --- counts ----------------------------------------------------------------------------------


@given(st.dictionaries(st.sampled_from("abcde"), st.integers(1, 9), min_size=1), st.integers(0, 60))
def test_shares_add_up_and_grow_with_the_total(servers: dict[str, int], total: int) -> None:
    shares = {name: data_centre_share(total, servers, name) for name in servers}
    assert sum(shares.values()) == min(total, sum(servers.values()))
    assert all(shares[name] <= servers[name] for name in servers)
    assert all(data_centre_share(total + 1, servers, name) >= shares[name] for name in servers)


def run_count(
    target: ModelTarget, demand: list[float], *, bounds: Bounds, servers: int, start: float = 0.0
) -> list[int]:
    """Apply a demand every round and return the counts."""
    counts: list[int] = []
    for index, use in enumerate(demand):
        now = start + index * OPTIONS.model_round_s
        note_demand(target, OPTIONS, now, ModelUsage(use))
        warm = now - start >= OPTIONS.model_warm_s
        choose_count(target, OPTIONS, now, CountInput(bounds, servers, SLOTS, warm, False))
        counts.append(target.count)
    return counts


@settings(max_examples=60, deadline=None)
@given(st.floats(0, 60), st.floats(0, 0.9), st.integers(0, 8), st.integers(0, 2**32))
def test_steady_or_noisy_demand_does_not_make_a_count_flap(
    mean: float, noise: float, count: int, seed: int
) -> None:
    rng = Random(seed)
    demand = [mean * (1 + noise * (2 * rng.random() - 1)) for _ in range(1500)]
    target = ModelTarget(count)
    counts = run_count(target, demand, bounds=Bounds(0, 8), servers=8)
    moves = [after - before for before, after in pairwise(counts)]
    assert not (1 in moves and -1 in moves)
    assert all(abs(move) <= 1 for move in moves)


def test_count_follows_demand_slowly_within_its_bounds() -> None:
    target = ModelTarget(1)
    high = run_count(target, [50.0] * 1500, bounds=Bounds(1, 5), servers=8)
    assert max(high) == 5
    changes = [index for index in range(1, len(high)) if high[index] != high[index - 1]]
    gaps = [later - former for former, later in pairwise(changes)]
    assert min(gaps) * OPTIONS.model_round_s >= OPTIONS.model_change_s
    low = run_count(target, [0.0] * 1500, bounds=Bounds(1, 5), servers=8, start=10_000)
    assert low[-1] == 1


def test_short_burst_does_not_change_the_count() -> None:
    target = ModelTarget(2)
    steady = [10.0] * 100
    burst = [18.0] * 12
    counts = run_count(target, steady + burst + steady, bounds=Bounds(1, 8), servers=8)
    assert set(counts) == {2}


def test_rarely_used_model_keeps_its_server() -> None:
    target = ModelTarget(1)
    once_in_ten_minutes = ([1.0] + [0.0] * 119) * 12
    counts = run_count(target, once_in_ten_minutes, bounds=Bounds(0, 8), servers=8)
    assert set(counts) == {1}
    idle = run_count(target, [0.0] * 900, bounds=Bounds(0, 8), servers=8, start=10_000)
    assert idle[-1] == 0


def test_servers_that_have_a_model_keep_it() -> None:
    holdings = [Holding(ServerName(f"s{number}"), SLOTS, ()) for number in range(8)]
    holdings[3] = Holding(ServerName("s3"), SLOTS, (ModelLabel("lm"),))
    holdings[6] = Holding(ServerName("s6"), SLOTS, (), (ModelLabel("lm", "1"),))
    target = ModelTarget(2)
    assert choose_servers("lm/dc-1", "lm", target, holdings, {}) == {"s3", "s6"}
    target.count = 3
    chosen = choose_servers("lm/dc-1", "lm", target, holdings, {})
    assert chosen > {"s3", "s6"}
    # The result does not depend on the order of the servers.
    assert choose_servers("lm/dc-1", "lm", target, holdings[::-1], {}) == chosen


# --- the whole reducer ------------------------------------------------------------------------


def test_wanted_state_is_reached_and_then_no_orders_are_sent() -> None:
    world = World()
    world.add_engines("big", "", "")
    world.start(ModelReplicas("big", min_servers=2), ModelReplicas("small", min_servers=1))
    world.run(SETTLE_S)
    assert world.having("big") == 2
    assert world.having("small") == 1

    record_count, order_count, ask_count = len(world.records), len(world.orders()), world.asked
    world.run(3600.0)
    assert len(world.orders()) == order_count
    assert world.asked == ask_count
    # The lease was released, so a steady state appends nothing.
    assert len(world.records) == record_count
    assert world.records[-1]["act"] == "release"


def test_version_changes_one_server_at_a_time_above_the_least() -> None:
    world = World()
    world.add_engines("big@1", "big@1", "big@1")
    world.start(ModelReplicas("big", "1", min_servers=3))
    world.run(30.0)
    world.watch()
    world.want(ModelReplicas("big", "2", min_servers=3))
    changing_counts: set[int] = set()
    for _ in range(600):
        world.run(0.5)
        changing_counts.add(
            sum(
                1
                for engine in world.engines.values()
                if len(engine.loaded) + len(engine.loading) > 1
            )
        )
    assert world.loaded() == ["big@2"] * 3
    assert max(changing_counts) == 1
    assert world.least["big"] == 3
    kinds = [order.kind for order in world.orders()]
    assert kinds == ["load", "unload"] * 3


def test_demand_adds_servers_and_removes_them_slowly() -> None:
    world = World()
    world.add_engines("big", "", "", "")
    world.start(ModelReplicas("big"))
    world.run(1200.0, big=20.0)
    assert world.having("big") == 4
    world.watch()
    world.run(2400.0, big=1.0)
    assert world.having("big") == 1
    assert world.least["big"] == 1
    kinds = [order.kind for order in world.orders()]
    assert kinds == ["load"] * 3 + ["unload"] * 3


def test_model_in_use_keeps_its_last_server_without_a_want() -> None:
    world = World()
    world.add_engines("big", "")
    world.start(ModelReplicas("big", min_servers=0, max_servers=0))
    world.run(120.0, big=0.5)
    assert world.having("big") == 1
    world.run(120.0)
    assert world.having("big") == 0


def test_waiting_requests_load_a_missing_model() -> None:
    world = World()
    world.add_engines("small", "small")
    state = world.start(ModelReplicas("big", min_servers=0), ModelReplicas("small", min_servers=2))
    world.run(60.0)
    assert world.having("big") == 0
    for _ in range(60):
        world.run(1.0)
        world.report_use(state, {"big": 0.0}, waiting=1)
    assert world.having("big") == 1
    assert world.having("small") == 2


def test_weight_store_is_asked_on_time_and_for_missing_models_first() -> None:
    world = World(weights_s=15.0)
    world.add_engines("big", "", "")
    world.start(ModelReplicas("big", min_servers=3), ModelReplicas("small", min_servers=1))
    world.run(SETTLE_S)
    assert world.having("big") == 3
    assert world.grants[0][1] == "small@1"
    assert len(world.grants) == 3
    # One refusal for each wait, not one for each tick.
    assert world.asked <= 2 * len(world.grants) + 1


def test_orders_stop_in_a_log_outage_and_resume_after_it() -> None:
    world = World()
    world.add_engines("big@1", "big@1")
    state = world.start(ModelReplicas("big", "1", min_servers=2))
    world.run(30.0)
    world.want(ModelReplicas("big", "2", min_servers=2))
    world.run(7.0)
    world.log_up = False
    world.run(OPTIONS.lease_s + 1)
    assert lease_flow.current_lease(state, world.now, SCOPE) is None
    order_count = len(world.orders())
    world.run(600.0)
    assert len(world.orders()) == order_count
    world.log_up = True
    world.run(SETTLE_S)
    assert world.loaded() == ["big@2"] * 2


def test_server_that_fails_to_load_is_replaced() -> None:
    world = World()
    world.add_engines("", "")
    state = world.start(ModelReplicas("big", min_servers=0), ModelReplicas("small", min_servers=0))
    world.run(30.0)
    world.want(ModelReplicas("big", min_servers=1))
    world.run(1.0)
    plan = next(iter(state.models.plans.values()))
    world.run(10.0)
    (name,) = plan.targets["big"].chosen_servers
    world.engines[name].broken = True
    world.engines[name].loading.clear()
    world.run(SETTLE_S)
    assert world.having("big") == 1
    assert world.engines[name].loaded == []


@pytest.mark.parametrize("checks", [True, False])
def test_delayed_order_of_a_paused_holder_is_refused_or_repaired(checks: bool) -> None:
    # i0 holds the lease and is paused; i1 takes over and changes the version. A delayed order of i0
    # to unload it is refused, or repaired shortly after.
    world = World(checks=checks)
    world.add_engines("big@1", "big@1")
    world.start(ModelReplicas("big", "1", min_servers=2))
    world.start()
    world.run(30.0)
    world.want(ModelReplicas("big", "2", min_servers=2))
    world.run(6.0)
    holders = [state for state in world.states if lease_flow.current_lease(state, world.now, SCOPE)]
    assert len(holders) == 1
    old_lease = lease_flow.current_lease(holders[0], world.now, SCOPE)
    assert old_lease is not None
    world.paused.add(holders[0].me.name)
    world.run(SETTLE_S)
    assert world.loaded() == ["big@2"] * 2

    engine = next(iter(world.engines.values()))
    engine.obey(world.now, "unload", "big@2", old_lease.fence, world.load_s)
    assert engine.loaded == (["big@2"] if checks else [])
    world.run(SETTLE_S)
    assert world.loaded() == ["big@2"] * 2
    world.paused.clear()
    world.run(SETTLE_S)
    assert world.loaded() == ["big@2"] * 2


def test_successor_waits_for_the_longest_order_without_fence_checks() -> None:
    world = World(checks=False)
    world.add_engines("big@1", "big@1")
    world.start(ModelReplicas("big", "1", min_servers=2))
    world.start()
    world.run(30.0)
    world.want(ModelReplicas("big", "2", min_servers=2))
    world.run(6.0)
    holder = next(
        state for state in world.states if lease_flow.current_lease(state, world.now, SCOPE)
    )
    successor = next(state for state in world.states if state is not holder)
    world.paused.add(holder.me.name)
    orders_before = len(world.orders())
    while len(world.orders()) == orders_before:
        world.run(0.5)
        assert world.now < 600
    lease = lease_flow.current_lease(successor, world.now, SCOPE)
    assert lease is not None
    assert world.orders()[-1].at - lease.held_since >= OPTIONS.order_longest_s


def test_holder_acquires_a_newer_lease_after_a_refused_fence() -> None:
    world = World()
    world.add_engines("", "")
    for engine in world.engines.values():
        engine.fence = 3
    world.start(ModelReplicas("big", min_servers=2))
    world.run(SETTLE_S)
    assert world.having("big") == 2
    refused = [fence for engine in world.engines.values() for fence in engine.refused]
    assert refused
    # A refused fencing number is not used again on any engine.
    assert len(set(refused)) == len(refused)


# --- random sequences of steps ----------------------------------------------------------------

STEPS: Final = st.one_of(
    st.tuples(st.just("run"), st.sampled_from([1, 5, 20, 60])),
    st.tuples(st.just("pause"), st.integers(0, 1)),
    st.tuples(st.just("resume"), st.integers(0, 1)),
    st.tuples(st.just("log"), st.booleans()),
    st.tuples(st.just("lose"), st.booleans()),
    st.tuples(st.just("repeat"), st.integers(0, 100)),
    st.tuples(st.just("want"), st.integers(1, 3)),
)


def apply(world: World, step: tuple[str, int]) -> None:
    """Apply one step of a random run."""
    match step:
        case ("run", seconds):
            world.run(seconds, step_s=1.0)
        case ("pause", index):
            world.paused.add(world.states[index].me.name)
        case ("resume", index):
            world.paused.discard(world.states[index].me.name)
        case ("log", up):
            world.log_up = bool(up)
        case ("lose", lost):
            world.lose_orders = bool(lost)
        case ("repeat", index):
            world.repeat(index)
        case (_, version):
            world.want(ModelReplicas("big", str(version), min_servers=2))


@settings(max_examples=15, deadline=None)
@given(st.booleans(), st.lists(STEPS, max_size=25))
def test_servers_reach_the_wanted_state_after_random_steps(
    checks: bool, steps_: list[tuple[str, int]]
) -> None:
    # No orders are sent once the wanted state is reached.
    world = World(checks=checks, load_s=5.0)
    world.add_engines("big@1", "big@1", "")
    world.start(ModelReplicas("big", "1", min_servers=2))
    world.start()
    world.run(30.0, step_s=1.0)
    for step in steps_:
        apply(world, step)
    world.paused.clear()
    world.log_up, world.lose_orders = True, False
    world.want(ModelReplicas("big", "9", min_servers=2))
    world.run(900.0, step_s=1.0)
    assert sorted(world.loaded()) == ["", "big@9", "big@9"]
    order_count = len(world.orders())
    world.run(300.0, step_s=1.0)
    assert len(world.orders()) == order_count
    for engine in world.engines.values():
        fences = [order.fence for order in engine.obeyed]
        assert not checks or fences == sorted(fences)
