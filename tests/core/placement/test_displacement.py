"""Test which lower work is displaced for upper tiers."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import CLASSES, LoadWorld
from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import CancelAttempt
from turmericweir_core.messages.events import EndRefused

# Upper bound of displacements in these tests.
DISPLACEMENTS_MAX = 20


@pytest.mark.parametrize("case", load_cases("displacement.test"), ids=str)
def test_displacement(case: Case) -> None:
    """Check a case of `cases/displacement.test`."""
    check_lines(case, run_script(case.lines("in")))


class BoundedWorld(LoadWorld):
    """A world that fails instead of hanging where displacement does not end."""

    def __init__(self, options: Options) -> None:
        super().__init__(servers=2, slots=1, policy=PlacementPolicy.COUNTS, options=options)

    def displacement_count(self) -> int:
        """Count the displacements."""
        return len(self.cancelled)

    def _cancel(self, instance: InstanceName, effect: CancelAttempt) -> None:
        super()._cancel(instance, effect)
        assert (
            self.displacement_count() <= DISPLACEMENTS_MAX
        ), "the instance displaces work in an endless loop"


def test_no_displacement_on_an_avoided_server() -> None:
    """Guards against an endless loop that displaces work on a server the upper request avoids."""
    world = BoundedWorld(Options(slack_slots=0, displace_wait_share=0.0))
    world.arrive("fitting", name="f0")
    world.arrive("fitting", name="f1")
    avoided = world.run_of("f1")
    world.arrive("quote", name="q0")
    world.end(avoided, EndRefused(503, leaving=False))
    world.advance(1.0)
    assert world.run_of("q0").server == avoided.server
    assert world.displacement_count() == 0
    assert world.waiting() == ["f1"]


def test_new_attempt_is_not_displaced_at_once() -> None:
    """Guards against two requests that displace each other without end at one time."""
    world = BoundedWorld(Options(slack_slots=0, displace_wait_share=0.0))
    world.arrive("quote", name="q0")
    world.arrive("quote", name="q1")
    world.arrive("fitting", name="f0")
    assert world.displacement_count() == 0
    world.advance(0.2)
    assert world.displacement_count() == 1
    assert "f0" in world.running_ids()


# --- any load ----------------------------------------------------------------------------------

# Without assured shares, all lower work can be displaced.
STRICT = {name: replace(each, assured_share=0.0) for name, each in CLASSES.items()}
# Longer than the displacement wait of every upper class plus a displacement on every server.
SETTLE_S = 1.5


def play(rng: Random) -> LoadWorld:
    """Play random requests on some instances and servers."""
    world = LoadWorld(
        instances=rng.randint(1, 4),
        servers=rng.randint(1, 3),
        slots=rng.randint(2, 5),
        policy=PlacementPolicy.CREDITS,
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
    """Guards against upper requests that wait at one instance while lower work runs anywhere."""
    world = play(Random(seed))
    world.advance(SETTLE_S)
    tiers = {name: each.priority for name, each in STRICT.items()}
    least_urgent_running = max(
        (tiers[each.service_class] for each in world.running.values()), default=-1
    )
    for state in world.states.values():
        for queue in state.queues.index.values():
            assert queue.service_class.priority >= least_urgent_running
