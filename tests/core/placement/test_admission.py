"""Test admission: the cases of `cases/admission.test`, and properties under random load."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.load_script import run_script
from tests.core.load_world import CLASSES, LoadWorld
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.events import EndBroken


@pytest.mark.parametrize("case", load_cases("admission.test"), ids=str)
def test_admission(case: Case) -> None:
    """Check a case of `cases/admission.test`."""
    check_lines(case, run_script(case.lines("in")))


def shed_accounts(world: LoadWorld) -> Iterable[Account]:
    """Yield the accounts of requests that were refused or dropped for lack of capacity."""
    for outcomes in world.accounts_by_class.values():
        for account in outcomes.accounts:
            if account.reason in (Reason.OVERLOAD, Reason.DISPLACED):
                yield account


def displaceable_work_below(world: LoadWorld, tier: int) -> list[str]:
    """List running and waiting work below a tier that could be displaced."""
    displaceable: list[str] = []
    for state in world.states.values():
        for req in state.requests.values():
            if req.priority <= tier:
                continue
            attempt = req.attempt
            if attempt is None:
                oldest_arrival = min(
                    (
                        each.arrived_at
                        for each in state.requests.values()
                        if each.attempt is None and each.priority == req.priority
                    ),
                )
                droppable = not req.may_have_run and req.arrived_at > oldest_arrival
            else:
                # An attempt of the assured share runs at the most urgent tier.
                droppable = (
                    req.kind is ServiceKind.MODEL
                    and attempt.cancel_reason is None
                    and attempt.tier > tier
                )
            if droppable:
                displaceable.append(req.request_id)
    return displaceable


def test_displacement_does_not_count_as_failure() -> None:
    """Guards against counting displacements as failed attempts."""
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
    assert [each.outcome for each in world.accounts_by_class["quote"].accounts] == [
        Outcome.COMPLETED
    ]


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
@given(
    STEPS,
    st.sampled_from(list(ServiceKind)),
    st.sampled_from([PlacementPolicy.COUNTS, PlacementPolicy.CREDITS]),
)
def test_lower_work_is_displaced_before_upper_work_is_refused(
    steps: list[tuple[str, str]], kind: ServiceKind, policy: PlacementPolicy
) -> None:
    """Guards against refusing a request while lower work could be displaced, and against the
    reverse.
    """
    options = Options(queue_limit=3, pace_weight=1.0)
    world = LoadWorld(servers=1, slots=2, policy=policy, kind=kind, options=options)
    world.advance(0.2)
    for step, class_name in steps:
        account_counts = {
            name: len(each.accounts) for name, each in world.accounts_by_class.items()
        }
        cancelled_count = len(world.cancelled)
        if step == "arrive":
            tier = CLASSES[class_name].priority
            displaceable = displaceable_work_below(world, tier)
            world.arrive(class_name, deadline_s=1.5)
            new_accounts = world.accounts_by_class[class_name].accounts[
                account_counts[class_name] :
            ]
            if any(each.reason is Reason.OVERLOAD for each in new_accounts):
                assert not displaceable, f"{class_name} was refused before {displaceable}"
            for name, each in world.accounts_by_class.items():
                if CLASSES[name].priority <= tier:
                    dropped = each.accounts[account_counts[name] :]
                    assert all(it.reason is not Reason.DISPLACED for it in dropped)
        elif step == "end" and world.running:
            running = world.oldest()
            if kind is ServiceKind.MODEL:
                world.progress(running, 20)
            world.end(running)
        else:
            world.advance(0.3)
            for name, each in world.accounts_by_class.items():
                # Late requests that would expire are refused on ticks.
                new_accounts = each.accounts[account_counts[name] :]
                if any(it.reason is Reason.OVERLOAD for it in new_accounts):
                    assert not displaceable_work_below(world, CLASSES[name].priority)
        for request_id, reason in world.cancelled[cancelled_count:]:
            if reason is CancelReason.DISPLACED:
                assert not request_id.startswith("counter")


def test_backlog_after_a_pause_is_admitted() -> None:
    """Guards against refusals after a pause, when credit has lapsed and engines are idle."""
    world = LoadWorld(
        instances=2,
        servers=4,
        slots=8,
        policy=PlacementPolicy.CREDITS,
        options=Options(pace_weight=1.0),
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
    world.delay_messages()

    for _ in range(32):
        world.arrive("counter", deadline_s=4.0)

    assert list(shed_accounts(world)) == []
    for instance, event in world.take_delayed_messages():
        world.event(instance, event)
    world.advance(0.5)
    assert world.waiting() == []


@settings(max_examples=60, deadline=None)
@given(STEPS, st.sampled_from(list(PlacementPolicy)))
def test_every_request_ends_once_and_not_run_is_accurate(
    steps: list[tuple[str, str]], policy: PlacementPolicy
) -> None:
    """Guards against missing or double accounts, and `not_run` for a request that was sent."""
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
    accounts = [account for each in world.accounts_by_class.values() for account in each.accounts]
    assert len({each.request_id for each in accounts}) == len(accounts) == arrived
    started_ids = {each.request_id for each in world.started}
    for account in accounts:
        if account.outcome is Outcome.NOT_RUN:
            assert account.request_id not in started_ids
    for account in shed_accounts(world):
        assert account.retry_after_s is not None
        assert account.retry_after_s >= 1.0
