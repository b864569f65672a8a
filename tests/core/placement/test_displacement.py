"""Which lower work makes way, in cases that runs under load and with random faults found."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import CLASSES, LoadWorld
from turmericweir_core.base.config import Policy
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import CancelAttempt
from turmericweir_core.messages.events import EndRefused

# More than any sound run of these tests displaces.
TOO_MANY = 20


@pytest.mark.parametrize("case", load_cases("displacement.test"), ids=str)
def test_displacement(case: Case) -> None:
    """Let lower work make way as the case says."""
    check_lines(case, run_script(case.lines("in")))


class BoundedWorld(LoadWorld):
    """A world that fails, rather than hangs, where an instance displaces without end."""

    def __init__(self, options: Options) -> None:
        super().__init__(servers=2, slots=1, policy=Policy.COUNTS, options=options)

    def displaced(self) -> int:
        """Count the orders to make way."""
        return len(self.cancelled)

    def _cancel(self, instance: InstanceName, effect: CancelAttempt) -> None:
        super()._cancel(instance, effect)
        assert self.displaced() <= TOO_MANY, "it displaces without end"


def test_lower_work_does_not_make_way_on_a_server_that_the_upper_one_avoids() -> None:
    # A caller's fitting question is refused by s1 and waits for s0, which is full; a quote runs on
    # s1. The instance stops the quote to make room, but the question goes on avoiding s1, so the
    # quote is bound to s1 again and stopped again, with no end: the process answers nobody.
    world = BoundedWorld(Options(slack_slots=0, displace_wait_share=0.0))
    world.arrive("fitting", name="f0")
    world.arrive("fitting", name="f1")
    avoided = world.run_of("f1")
    world.arrive("quote", name="q0")
    world.end(avoided, EndRefused(503, leaving=False))
    world.advance(1.0)
    assert world.run_of("q0").server == avoided.server
    assert world.displaced() == 0
    assert world.waiting() == ["f1"]


def test_an_attempt_that_has_just_begun_is_left_alone() -> None:
    # A quote is bound, and a fitting question comes in the same instant. Were the quote stopped at
    # once, whatever keeps the question from its place would let the two change places for ever
    # within one instant, in which no other event is seen. A tick later it makes way.
    world = BoundedWorld(Options(slack_slots=0, displace_wait_share=0.0))
    world.arrive("quote", name="q0")
    world.arrive("quote", name="q1")
    world.arrive("fitting", name="f0")
    assert world.displaced() == 0
    world.advance(0.2)
    assert world.displaced() == 1
    assert "f0" in world.running_ids()


# --- any load ----------------------------------------------------------------------------------

# Without assured shares anything lower makes way.
STRICT = {name: replace(each, assured_share=0.0) for name, each in CLASSES.items()}
# Longer than every upper class's patience and a press of every server after it.
SETTLED_S = 1.5


def play(rng: Random) -> LoadWorld:
    """Let requests come and go at random before some instances and servers."""
    world = LoadWorld(
        instances=rng.randint(1, 4),
        servers=rng.randint(1, 3),
        slots=rng.randint(2, 5),
        policy=Policy.CREDITS,
        classes=STRICT,
    )
    world.advance(0.3)
    for _ in range(rng.randint(5, 80)):
        step = rng.random()
        if step < 0.55:
            (name,) = rng.choices(["counter", "fitting", "quote"], [1, 1, 3])
            world.arrive(name, instance=rng.randrange(len(world.states)), deadline_s=1e5)
        elif step < 0.75 and world.running:
            running = rng.choice(list(world.running.values()))
            world.progress(running, 50)
            world.end(running)
        else:
            world.advance(rng.choice([0.1, 0.2, 0.5]))
        for server in world.config.servers:
            assert len(world.on_server(server)) <= world.slots + world.options.slack_slots
    return world


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**16))
@example(85)
@example(249)
def test_no_upper_request_waits_while_lower_work_runs(seed: int) -> None:
    # A student's homework waits at one instance while essays run, there or elsewhere. No one
    # is told, or no one who could stop one, and it waits until answers end by themselves.
    world = play(Random(seed))
    world.advance(SETTLED_S)
    tiers = {name: each.priority for name, each in STRICT.items()}
    lowest_running = max((tiers[each.service_class] for each in world.running.values()), default=-1)
    for state in world.states.values():
        for queue in state.queues.index.values():
            assert queue.service_class.priority >= lowest_running
