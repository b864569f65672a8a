"""Admission: cases from `cases/admission.test`, and that no upper tier suffers for a lower one."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import CLASSES, LoadWorld
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import Kind, Policy
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.events import EndBroken


@pytest.mark.parametrize("case", load_cases("admission.test"), ids=str)
def test_admission(case: Case) -> None:
    """Admit, refuse and displace as the case says."""
    check_lines(case, run_script(case.lines("in")))


def shed(world: LoadWorld) -> Iterable[Account]:
    """Give the accounts of those that were refused or dropped for want of capacity."""
    for told in world.told.values():
        for account in told.accounts:
            if account.reason in (Reason.OVERLOAD, Reason.DISPLACED):
                yield account


def displaceable_below(world: LoadWorld, tier: int) -> list[str]:
    """List lower work that could make way, by what the servers run and what waits."""
    found: list[str] = []
    for state in world.states.values():
        for req in state.requests.values():
            if req.priority <= tier:
                continue
            attempt = req.attempt
            if attempt is None:
                first = min(
                    (
                        each.arrived
                        for each in state.requests.values()
                        if each.attempt is None and each.priority == req.priority
                    ),
                )
                droppable = not req.may_have_run and req.arrived > first
            else:
                # A turn that its share had earned runs at the most urgent tier.
                droppable = (
                    req.kind is Kind.MODEL and attempt.cancelled is None and attempt.tier > tier
                )
            if droppable:
                found.append(req.request_id)
    return found


def test_displacement_is_no_failed_attempt() -> None:
    # A quote has to make way again and again, and then its server is lost. That is its first
    # failure, so it is tried again, once it is known that its server did not crash, and its caller
    # gets the whole answer.
    world = LoadWorld(servers=2, slots=1, options=Options(slack_slots=0))
    world.arrive("quote", name="q")
    for _ in range(2 * world.options.attempts_max):
        fittings = [world.arrive("fitting") for _ in range(2)]
        world.advance(0.8)
        assert "q" not in world.running_ids()
        for name in fittings:
            world.end(world.run_of(name))
    world.end(world.run_of("q"), EndBroken("reset", server_alive=True))
    world.advance(world.options.crash_doubt_s + 0.2)
    world.end(world.run_of("q"))
    assert [each.outcome for each in world.told["quote"].accounts] == [Outcome.COMPLETED]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.sampled_from(sorted(CLASSES))),
        st.tuples(st.just("end"), st.just("")),
        st.tuples(st.just("pass"), st.just("")),
    ),
    min_size=10,
    max_size=80,
)


@settings(max_examples=150, deadline=None)
@given(STEPS, st.sampled_from(list(Kind)), st.sampled_from([Policy.COUNTS, Policy.CREDITS]))
def test_upper_tier_is_never_shed_while_lower_work_could_make_way(
    steps: list[tuple[str, str]], kind: Kind, policy: Policy
) -> None:
    # A burst of all classes on two servers, with queues so short and deadlines so tight that many
    # must be refused. Whenever one is, nothing below it may be left that could have made way; and
    # nothing of an upper tier is ever stopped or dropped for a lower one.
    options = Options(queue_limit=3, pace_weight=1.0)
    world = LoadWorld(servers=1, slots=2, policy=policy, kind=kind, options=options)
    world.advance(0.2)
    for step, class_name in steps:
        told = {name: len(each.accounts) for name, each in world.told.items()}
        cancelled = len(world.cancelled)
        if step == "arrive":
            tier = CLASSES[class_name].priority
            before = displaceable_below(world, tier)
            world.arrive(class_name, deadline_s=1.5)
            new = world.told[class_name].accounts[told[class_name] :]
            if any(each.reason is Reason.OVERLOAD for each in new):
                assert not before, f"{class_name} was refused before {before}"
            for name, each in world.told.items():
                if CLASSES[name].priority <= tier:
                    dropped = each.accounts[told[name] :]
                    assert all(it.reason is not Reason.DISPLACED for it in dropped)
        elif step == "end" and world.running:
            running = world.oldest()
            if kind is Kind.MODEL:
                world.progress(running, 20)
            world.end(running)
        else:
            world.advance(0.3)
            for name, each in world.told.items():
                # Late ones that would wait in vain are refused on ticks.
                new = each.accounts[told[name] :]
                if any(it.reason is Reason.OVERLOAD for it in new):
                    assert not displaceable_below(world, CLASSES[name].priority)
        for request_id, reason in world.cancelled[cancelled:]:
            if reason is CancelReason.DISPLACED:
                assert not request_id.startswith("counter")


def test_backlog_of_a_moment_is_not_refused_before_idle_servers() -> None:
    # An instance goes on after a pause in which its credit has lapsed, and all that its callers
    # sent meanwhile comes at once. It has few slots until its demands are answered. Judged by the
    # rate of these alone, the end of the backlog would come too late, and its callers, of the most
    # urgent tier, would be refused before engines that stand idle.
    world = LoadWorld(
        instances=2, servers=4, slots=8, policy=Policy.CREDITS, options=Options(pace_weight=1.0)
    )
    world.advance(1.0)
    for _ in range(2):
        world.arrive("counter")
        running = world.oldest()
        world.progress(running, 1)
        world.advance(1.0)
        world.progress(running, 100)
        world.end(running)
    world.advance(12.0)
    world.keep_late()

    for _ in range(32):
        world.arrive("counter", deadline_s=4.0)

    assert list(shed(world)) == []
    for instance, event in world.take_late():
        world.event(instance, event)
    world.advance(0.5)
    assert world.waiting() == []


@settings(max_examples=60, deadline=None)
@given(STEPS, st.sampled_from(list(Policy)))
def test_every_request_ends_once_and_not_run_is_true(
    steps: list[tuple[str, str]], policy: Policy
) -> None:
    """Give each request one account, and `not_run` only where no server was asked to run it."""
    world = LoadWorld(
        servers=1, slots=2, policy=policy, options=Options(queue_limit=3, pace_weight=1.0)
    )
    arrived = 0
    for step, class_name in steps:
        if step == "arrive":
            world.arrive(class_name, deadline_s=1.5)
            arrived += 1
        elif step == "end" and world.running:
            world.end(world.oldest())
        else:
            world.advance(0.3)
    for _ in range(200):
        if world.running:
            world.end(world.oldest())
        world.advance(0.1)
    accounts = [account for each in world.told.values() for account in each.accounts]
    assert len({each.request_id for each in accounts}) == len(accounts) == arrived
    begun = {each.request_id for each in world.started}
    for account in accounts:
        if account.outcome is Outcome.NOT_RUN:
            assert account.request_id not in begun
    for account in shed(world):
        assert account.retry_after_s is not None
        assert account.retry_after_s >= 1.0
