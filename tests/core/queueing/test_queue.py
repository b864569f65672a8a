"""Test the order of waiting requests: the cases of `cases/queue.test`, and properties."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import CLASSES, LoadWorld
from tests.core.store_world import StoreWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import PlacementPolicy, ServiceClass, ServiceKind
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.state import queue_state


@pytest.mark.parametrize("case", load_cases("queue.test"), ids=str)
def test_queue(case: Case) -> None:
    """Check a case of `cases/queue.test`."""
    check_lines(case, run_script(case.lines("in")))


def overload_with(world: LoadWorld, upper: tuple[str, ...], rounds: int) -> None:
    """Keep all servers full of upper classes and end one attempt each round."""
    for round_number in range(rounds):
        for class_name in upper:
            world.arrive(class_name, instance=round_number % len(world.states))
        if world.running:
            running = world.oldest()
            if world.kind is ServiceKind.MODEL:
                world.progress(running, 256)
            world.end(running)
        world.advance(0.1)


@pytest.mark.parametrize("policy", [PlacementPolicy.COUNTS, PlacementPolicy.CREDITS])
@pytest.mark.parametrize("kind", list(ServiceKind))
@pytest.mark.parametrize("instances", [1, 3])
def test_every_class_is_served_under_endless_overload(
    policy: PlacementPolicy, kind: ServiceKind, instances: int
) -> None:
    """Guards against starvation of the lowest class under lasting overload by upper ones."""
    options = Options(queue_limit=10**6, admit_share=1e9)
    world = LoadWorld(
        instances=instances, servers=2, slots=2, policy=policy, kind=kind, options=options
    )
    world.advance(0.3)
    overload_with(world, ("counter", "fitting"), 20)
    for number in range(instances):
        world.arrive("quote", instance=number, deadline_s=1e6)
    overload_with(world, ("counter", "fitting"), 500)
    assert world.accounts_by_class["quote"].count(Outcome.COMPLETED) == instances
    upper_ids = {each for each, _ in world.cancelled if not each.startswith("quote")}
    assert not {each for each in upper_ids if each.startswith("counter")}


def test_assured_share_works_without_local_upper_traffic() -> None:
    """Guards against starvation of a class where its instance dispatches nothing else."""
    options = Options(queue_limit=10**6, admit_share=1e9, credit_assured_s=0.5)
    world = LoadWorld(
        instances=3, servers=1, slots=2, policy=PlacementPolicy.CREDITS, options=options
    )
    world.advance(0.3)
    for number in range(2):
        for _ in range(10):
            world.arrive("counter", instance=number, deadline_s=1e6)
    world.advance(0.5)
    world.arrive("quote", instance=2, deadline_s=1e6)
    for _ in range(400):
        for number in range(2):
            world.arrive("counter", instance=number, deadline_s=1e6)
        running = world.oldest()
        world.progress(running, 256)
        world.end(running)
        world.advance(0.1)
    assert world.accounts_by_class["quote"].count(Outcome.COMPLETED) == 1


@settings(max_examples=40, deadline=None)
@given(st.lists(st.sampled_from(sorted(CLASSES)), min_size=2, max_size=40), st.integers(1, 3))
def test_burst_is_served_completely_and_by_tier(names: list[str], slots: int) -> None:
    """Guards against lost requests and serving a lower tier before a waiting upper one."""
    classes: dict[str, ServiceClass] = {
        # Without shares the order is strict.
        name: replace(each, assured_share=0.0)
        for name, each in CLASSES.items()
    }
    world = LoadWorld(servers=1, slots=slots, classes=classes)
    for name in names:
        world.arrive(name)
    while world.running:
        attempts_before = {each.attempt_id for each in world.running.values()}
        waiting = world.waiting()
        world.end(world.oldest())
        started = [
            each for each in world.running.values() if each.attempt_id not in attempts_before
        ]
        tiers = [classes[each.rstrip("0123456789")].priority for each in waiting]
        for each in started:
            assert classes[each.service_class].priority == min(tiers)
    completed = sum(each.count(Outcome.COMPLETED) for each in world.accounts_by_class.values())
    assert completed == len(names)
    assert len(world.started) == len(names) + len(world.cancelled)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(["fitting", "quote", "end", "pass"]), min_size=20, max_size=80))
def test_requests_on_time_go_before_late_ones(steps: list[str]) -> None:
    """Guards against serving a late request of a class before one that is on time."""
    classes = {name: replace(each, assured_share=0.0) for name, each in CLASSES.items()}
    world = LoadWorld(servers=1, slots=1, classes=classes)
    state = world.first
    arrived_count = 0
    for step in steps:
        running = set(world.running)
        if step in classes:
            arrived_count += 1
            world.arrive(step, deadline_s=1e4)
        elif step == "pass":
            for each in world.running.values():
                # Keeps the stream responsive.
                world.progress(each, 1)
            world.advance(1.9)
        elif world.running:
            world.end(world.oldest())
        waiting = [state.requests[each] for each in state.queues.index]
        for each in (other for other in world.running.values() if other.attempt_id not in running):
            started = state.requests[each.request_id]
            same_class = [
                other for other in waiting if other.service_class is started.service_class
            ]
            if is_late(world, started):
                assert all(is_late(world, other) for other in same_class)
    while world.running:
        world.end(world.oldest())
    assert (
        sum(each.count(Outcome.COMPLETED) for each in world.accounts_by_class.values())
        == arrived_count
    )


def is_late(world: LoadWorld, req: Request) -> bool:
    """Return whether a request has waited for too long to meet its target."""
    return world.now - req.arrived_at >= world.options.on_time_share * req.service_class.target_s


@pytest.mark.parametrize("tiers", [(1, 1), (0, 1)])
def test_customers_are_ordered_within_a_tier_only(tiers: tuple[int, int]) -> None:
    """Guards against requests of an urgent customer passing those of a more urgent tier."""
    world = StoreWorld(engines=0, plain=0)
    older = ServiceClass("older", priority=tiers[0], target_s=60.0, customer_priority=1)
    newer = ServiceClass("newer", priority=tiers[1], target_s=60.0, customer_priority=0)
    world.arrive("1", service_class=older)
    world.wait(1.0)
    world.arrive("2", service_class=newer)
    first, _ = queue_state.queues_in_order(world.state.queues, "lm")
    assert first.service_class == (newer if tiers[0] == tiers[1] else older)
