"""Which lower work makes way, in cases that runs under load and with random faults found."""

from __future__ import annotations

import pytest

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import LoadWorld
from turmericweir_core.config import Policy
from turmericweir_core.effects import CancelAttempt
from turmericweir_core.events import EndRefused
from turmericweir_core.ids import InstanceName
from turmericweir_core.options import Options

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
