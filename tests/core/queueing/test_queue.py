"""The order of waiting requests: cases from `cases/queue.test`, and what holds for every burst."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import CLASSES, LoadWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Kind, Policy, ServiceClass
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request


@pytest.mark.parametrize("case", load_cases("queue.test"), ids=str)
def test_queue(case: Case) -> None:
    """Serve the classes in the order that the case says."""
    check_lines(case, run_script(case.lines("in")))


def serve_endlessly(world: LoadWorld, upper: tuple[str, ...], rounds: int) -> None:
    """Keep every server full of upper classes, and end one attempt each round."""
    for round_number in range(rounds):
        for class_name in upper:
            world.arrive(class_name, instance=round_number % len(world.states))
        if world.running:
            running = world.oldest()
            if world.kind is Kind.MODEL:
                world.progress(running, 256)
            world.end(running)
        world.advance(0.1)


@pytest.mark.parametrize("policy", [Policy.COUNTS, Policy.CREDITS])
@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("instances", [1, 3])
def test_every_class_is_served_under_endless_overload(
    policy: Policy, kind: Kind, instances: int
) -> None:
    # The callers of the two upper classes send more than the servers can do, for ever. A quote
    # waits at each instance. A strict order would never reach it: it must be answered all the
    # same, and no upper request is shed or stopped for it.
    options = Options(queue_limit=10**6, admit_share=1e9)
    world = LoadWorld(
        instances=instances, servers=2, slots=2, policy=policy, kind=kind, options=options
    )
    world.advance(0.3)
    serve_endlessly(world, ("counter", "fitting"), 20)
    for number in range(instances):
        world.arrive("quote", instance=number, deadline_s=1e6)
    serve_endlessly(world, ("counter", "fitting"), 500)
    assert world.told["quote"].count(Outcome.COMPLETED) == instances
    upper = {each for each, _ in world.cancelled if not each.startswith("quote")}
    assert not {each for each in upper if each.startswith("counter")}


def test_share_of_an_instance_without_upper_traffic() -> None:
    # Quotes wait at one instance only; the upper classes fill the servers from the others, so
    # nothing is ever dispatched where the quotes wait. The dispatcher's assured share serves them.
    options = Options(queue_limit=10**6, admit_share=1e9, credit_assured_s=0.5)
    world = LoadWorld(instances=3, servers=1, slots=2, policy=Policy.CREDITS, options=options)
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
    assert world.told["quote"].count(Outcome.COMPLETED) == 1


@settings(max_examples=40, deadline=None)
@given(st.lists(st.sampled_from(sorted(CLASSES)), min_size=2, max_size=40), st.integers(1, 3))
def test_nothing_is_lost_and_tiers_come_in_order(names: list[str], slots: int) -> None:
    """Serve a burst: each request once, and no lower one before an upper one that waited."""
    classes: dict[str, ServiceClass] = {
        # Without shares the order is strict.
        name: replace(each, assured_share=0.0)
        for name, each in CLASSES.items()
    }
    world = LoadWorld(servers=1, slots=slots, classes=classes)
    for name in names:
        world.arrive(name)
    while world.running:
        before = {each.attempt_id for each in world.running.values()}
        waiting = world.waiting()
        world.end(world.oldest())
        begun = [each for each in world.running.values() if each.attempt_id not in before]
        tiers = [classes[each.rstrip("0123456789")].priority for each in waiting]
        for each in begun:
            assert classes[each.service_class].priority == min(tiers)
    completed = sum(each.count(Outcome.COMPLETED) for each in world.told.values())
    assert completed == len(names)
    assert len(world.started) == len(names) + len(world.cancelled)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(["fitting", "quote", "end", "pass"]), min_size=20, max_size=80))
def test_requests_on_time_go_before_late_ones(steps: list[str]) -> None:
    # Two classes burst before one slot. Of a class, a caller who can still be answered in time is
    # served before those who no longer can, and none who waits is forgotten.
    classes = {name: replace(each, assured_share=0.0) for name, each in CLASSES.items()}
    world = LoadWorld(servers=1, slots=1, classes=classes)
    state = world.first
    arrived = 0
    for step in steps:
        running = set(world.running)
        if step in classes:
            arrived += 1
            world.arrive(step, deadline_s=1e4)
        elif step == "pass":
            for each in world.running.values():
                # It does not go silent.
                world.progress(each, 1)
            world.advance(1.9)
        elif world.running:
            world.end(world.oldest())
        waits = [state.requests[each] for each in state.queues.index]
        for each in (it for it in world.running.values() if it.attempt_id not in running):
            begun = state.requests[each.request_id]
            same = [it for it in waits if it.service_class is begun.service_class]
            if is_late(world, begun):
                assert all(is_late(world, it) for it in same)
    while world.running:
        world.end(world.oldest())
    assert sum(each.count(Outcome.COMPLETED) for each in world.told.values()) == arrived


def is_late(world: LoadWorld, req: Request) -> bool:
    """Tell whether a request has waited for too long to meet its target."""
    return world.now - req.arrived >= world.options.on_time_share * req.service_class.target_s
