"""Leases: one holder at a time by all local clocks, under loss, delays and pauses."""

from __future__ import annotations

from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.lease_world import OPTIONS, SCOPE, EffectOutcome, Instance, World
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.effects import AppendRecords
from turmericweir_core.records.lease_record import (
    LeaseAction,
    LeaseRecord,
    LeaseScope,
    decode,
    encode,
)
from turmericweir_core.state.lease_ledger import LeaseLedger, fold, start_at_end

WAIT_S: Final = OPTIONS.lease_s + OPTIONS.lease_margin_s


def start_wanting(world: World, count: int) -> list[Instance]:
    """Start instances that all want the lease."""
    instances = [world.start() for _ in range(count)]
    for instance in instances:
        lease_flow.request_lease(instance.state, world.clock(instance), SCOPE)
    return instances


def fence_of(world: World, instance: Instance) -> int | None:
    lease = lease_flow.current_lease(instance.state, world.clock(instance), SCOPE)
    return None if lease is None else lease.fence


# --- one holder ------------------------------------------------------------------------------


def test_nothing_is_read_or_appended_while_nothing_is_wanted() -> None:
    world = World()
    instance = world.start()
    for _ in range(100):
        world.tick(0.1)
    assert instance.pending == []


def test_first_grant_of_an_empty_stream_holds_at_once_and_is_renewed() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(0.5)
    assert fence_of(world, holder) == 0
    world.run(20.0)
    assert fence_of(world, holder) == 0
    # One renewal for each `lease_renew_s` and no other append.
    assert 18 <= len(world.records) - 1 <= 21


def test_two_instances_that_want_a_lease_get_one_holder() -> None:
    world = World()
    start_wanting(world, 2)
    world.run(2.0)
    assert len(world.holders()) == 1


def test_released_lease_passes_at_once_with_a_higher_fence() -> None:
    world = World()
    first, second = start_wanting(world, 2)
    world.run(1.0)
    holder = world.holders()[0]
    successor = second if holder is first else first
    fence_before = fence_of(world, holder)
    assert fence_before is not None

    lease_flow.release_lease(holder.state, SCOPE)
    world.run(1.0)

    fence_after = fence_of(world, successor)
    assert fence_after is not None
    assert fence_after > fence_before
    lease = lease_flow.current_lease(successor.state, world.clock(successor), SCOPE)
    assert lease is not None
    assert not lease.is_taken_over


def test_successor_waits_for_the_lease_and_margin_of_a_dead_holder() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(1.0)
    successor = start_wanting(world, 1)[0]
    world.run(1.0)
    holder.paused = True

    paused_at = world.now
    while not fence_of(world, successor):
        world.run(0.1)
        assert world.now < paused_at + 3 * WAIT_S
    assert fence_of(world, holder) is None
    lease = lease_flow.current_lease(successor.state, world.clock(successor), SCOPE)
    assert lease is not None
    assert lease.is_taken_over


def test_paused_holder_does_not_renew_after_a_successor() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(1.0)
    successor = start_wanting(world, 1)[0]
    world.run(0.5)
    holder.paused = True
    world.run(2 * WAIT_S)
    fence = fence_of(world, successor)
    assert fence is not None

    world.resume(holder)
    assert fence_of(world, holder) is None
    world.run(2.0)
    assert fence_of(world, successor) == fence
    assert world.given[-1].fence == fence


def test_holder_keeps_its_fence_after_an_outage_without_successor() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(1.0)
    end_at = world.now + 2 * WAIT_S
    while world.now < end_at:
        world.tick(0.1)
        while holder.pending:
            world.perform(holder, EffectOutcome.FAILED)
        world.check()
    assert fence_of(world, holder) is None
    world.run(1.0)
    assert fence_of(world, holder) == 0


def test_lost_acknowledgement_is_resolved_by_reading() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.tick(0.1)
    world.perform(holder)
    assert isinstance(holder.pending[0], AppendRecords)
    sent_at = world.clock(holder)
    world.perform(holder, EffectOutcome.UNACKNOWLEDGED)
    world.run(0.5)
    lease = lease_flow.current_lease(holder.state, world.clock(holder), SCOPE)
    assert lease is not None
    # The lease counts from the send time.
    assert lease.expires_at == pytest.approx(sent_at + OPTIONS.lease_s)
    assert len(world.records) == 1


def test_acknowledgement_after_the_expiry_gives_no_lease() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.tick(0.1)
    world.perform(holder)
    world.perform(holder, EffectOutcome.SLOW)
    world.now += OPTIONS.lease_s
    world.deliver_answer(holder)
    assert fence_of(world, holder) is None


def test_fence_that_a_server_refused_is_not_renewed() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(1.0)
    assert fence_of(world, holder) == 0
    lease_flow.drop_lease(holder.state, world.clock(holder), SCOPE)
    assert fence_of(world, holder) is None
    world.run(2 * WAIT_S)
    fence = fence_of(world, holder)
    assert fence is not None
    assert fence > 0


def test_new_instance_reads_only_the_end_of_the_stream() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(10.0)
    reader = start_wanting(world, 1)[0]
    world.tick(0.1)
    world.perform(reader)
    assert reader.state.leases.ledger.start == len(world.records)
    world.run(2 * WAIT_S)
    assert fence_of(world, holder) == 0
    assert fence_of(world, reader) is None


def test_one_holder_after_the_log_dropped_its_grant() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(5.0)
    world.oldest = len(world.records)
    start_wanting(world, 2)
    world.run(2 * WAIT_S)
    assert world.holders() == [holder]


def test_holder_keeps_its_fence_after_the_log_dropped_its_grant() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(5.0)
    # Records of another scope, which separate the next append from the read offset.
    other_grant = LeaseRecord(
        LeaseAction.GRANT, LeaseScope("other", "dc-1"), "b", "b", 1, 0, -1, 3.0
    )
    world.records += [encode(other_grant), encode(other_grant)]
    world.oldest = len(world.records)
    world.run(2 * WAIT_S)
    assert any(log.event == "leases_gap" for log in holder.logs)
    assert {order.fence for order in world.given} == {0}


def test_lost_records_of_the_platform_are_detected() -> None:
    world = World()
    holder = start_wanting(world, 1)[0]
    world.run(5.0)
    world.records.clear()
    world.run(2 * WAIT_S)
    other = start_wanting(world, 1)[0]
    world.run(2 * WAIT_S)
    assert len(world.holders()) == 1
    assert any(log.event == "log_shorter" for instance in (holder, other) for log in instance.logs)


def test_margin_covers_clock_drift() -> None:
    world = World()
    world.start()
    holder, successor = start_wanting(world, 2)
    assert holder.rate < 1.0 < successor.rate
    world.run(0.5, 0.02)
    assert world.holders() == [holder]
    records_after_renewal = len(world.records) + 1
    while len(world.records) < records_after_renewal:
        world.run(0.02, 0.02)
    # The holder is paused right after a renewal, which the successor reads at once.
    holder.paused = True
    successor.state.leases.next_read_at = 0.0
    world.run(2 * WAIT_S, 0.02)
    assert world.holders() == [successor]


def test_own_delayed_grant_is_void_after_dropped_records() -> None:
    world = World()
    slow, rival = start_wanting(world, 2)
    world.tick(0.1)
    world.perform(slow)
    world.perform(slow, EffectOutcome.LATE)
    world.perform(rival)
    world.perform(rival)
    assert world.holders() == [rival]
    # The rival's grant is dropped from the log before the slow instance reads on, and its own grant
    # lands after that.
    world.oldest = len(world.records)
    world.perform(slow)
    world.execute_late_append()
    world.run(1.0)
    assert world.holders() == [rival]


# --- the fold --------------------------------------------------------------------------------


def record(
    act: LeaseAction, number: int, upto: int, by: str = "a", fence: int = -1
) -> dict[str, Any]:
    return encode(LeaseRecord(act, SCOPE, by, by, number, upto, fence, 3.0))


def test_first_of_two_rival_grants_wins_by_its_offset() -> None:
    ledger = LeaseLedger()
    start_at_end(ledger, 0, 0.0)
    assert fold(ledger, 1.0, 0, record(LeaseAction.GRANT, 1, 0, "a")).is_valid
    assert not fold(ledger, 1.0, 1, record(LeaseAction.GRANT, 1, 0, "b")).is_valid
    assert ledger.leases[SCOPE].instance == "a"
    assert ledger.leases[SCOPE].fence == 0


def test_renewal_that_lands_after_the_successors_grant_is_void() -> None:
    ledger = LeaseLedger()
    start_at_end(ledger, 0, 0.0)
    fold(ledger, 1.0, 0, record(LeaseAction.GRANT, 1, 0, "a"))
    assert fold(ledger, 1.0, 1, record(LeaseAction.GRANT, 1, 1, "b")).is_valid
    assert not fold(ledger, 1.0, 2, record(LeaseAction.RENEW, 2, 1, "a", fence=0)).is_valid
    assert ledger.leases[SCOPE].instance == "b"


def test_uncertain_release_does_not_free_the_lease() -> None:
    ledger = LeaseLedger()
    start_at_end(ledger, 5, 0.0)
    folded = fold(ledger, 1.0, 5, record(LeaseAction.RELEASE, 9, 3, "a", fence=0))
    assert folded.is_valid
    assert not folded.is_sure
    assert not ledger.leases[SCOPE].released


@pytest.mark.parametrize(
    "value",
    [
        None,
        7,
        [],
        {},
        {"act": "steal"},
        {**record(LeaseAction.GRANT, 1, 0), "upto": "0"},
        {**record(LeaseAction.GRANT, 1, 0), "by": ["a"]},
        {**record(LeaseAction.GRANT, 1, 0), "lease_s": -1},
        {**record(LeaseAction.GRANT, 1, 0), "lease_s": True},
        {**record(LeaseAction.GRANT, 1, 0), "service": 4},
    ],
)
def test_malformed_record_is_skipped(value: Any) -> None:
    ledger = LeaseLedger()
    start_at_end(ledger, 0, 0.0)
    assert fold(ledger, 1.0, 0, value).record is None
    assert ledger.offset == 1
    assert ledger.leases == {}


def test_record_round_trips() -> None:
    value = LeaseRecord(LeaseAction.RENEW, SCOPE, "a", "a-1", 3, 17, 12, 30.0)
    assert decode(encode(value)) == value


# --- random sequences of steps ----------------------------------------------------------------

INDEX: Final = st.integers(0, 2)
STEPS: Final = st.one_of(
    st.tuples(st.just("tick"), st.sampled_from([0.05, 0.1, 0.3, 1.0])),
    st.tuples(st.just("tick"), st.sampled_from([0.1, 3.0, 3.4, 4.0])),
    st.tuples(st.just("perform"), INDEX, st.sampled_from(list(EffectOutcome))),
    st.tuples(st.just("perform"), INDEX, st.just(EffectOutcome.DONE)),
    st.tuples(st.just("hear"), INDEX),
    st.tuples(st.just("pause"), INDEX),
    st.tuples(st.just("resume"), INDEX),
    st.tuples(st.just("want"), INDEX),
    st.tuples(st.just("unwant"), INDEX),
    st.tuples(st.just("drop"), INDEX),
    st.tuples(st.just("kill"), INDEX),
    st.tuples(st.just("land")),
    st.tuples(st.just("let_go")),
    st.tuples(st.just("calm"), st.sampled_from([0.5, 1.0, 4.0])),
)


def apply(world: World, step: tuple[Any, ...]) -> None:
    """Apply one step of a random run."""
    match step:
        case ("tick", seconds):
            world.tick(seconds)
        case ("calm", seconds):
            world.run(seconds)
        case ("land",):
            world.execute_late_append()
        case ("let_go",):
            world.oldest = len(world.records)
        case (name, index, *rest):
            apply_to(world, world.instances[index], name, rest)
        case _:
            raise AssertionError(step)


def apply_to(world: World, instance: Instance, name: str, rest: list[Any]) -> None:
    """Apply one step to an instance."""
    match name:
        case "perform":
            world.perform(instance, rest[0])
        case "hear":
            world.deliver_answer(instance)
        case "pause":
            instance.paused = True
        case "resume":
            world.resume(instance)
        case "want" if not instance.paused:
            lease_flow.request_lease(instance.state, world.clock(instance), SCOPE)
        case "unwant" if not instance.paused:
            lease_flow.release_lease(instance.state, SCOPE)
        case "drop" if not instance.paused:
            lease_flow.drop_lease(instance.state, world.clock(instance), SCOPE)
        case "kill":
            kill(world, instance)
        case _:
            # A paused process ignores the step.
            assert instance.paused


def kill(world: World, instance: Instance) -> None:
    """Replace an instance; its pending appends may still take effect."""
    for effect in instance.pending:
        if isinstance(effect, AppendRecords):
            world.late += effect.records
    index = world.instances.index(instance)
    successor = world.start()
    world.instances.remove(successor)
    world.instances[index] = successor
    lease_flow.request_lease(successor.state, world.clock(successor), SCOPE)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=80))
def test_one_holder_at_a_time_and_fences_never_decrease(steps: list[tuple[Any, ...]]) -> None:
    world = World()
    start_wanting(world, 3)
    world.run(0.5)
    for step in steps:
        apply(world, step)
        world.check()
    for instance in world.instances:
        world.resume(instance)
        lease_flow.request_lease(instance.state, world.clock(instance), SCOPE)
    world.run(4 * WAIT_S)
    # In the end one instance holds the lease.
    assert len(world.holders()) == 1
    fences = [order.fence for order in world.given]
    assert fences == sorted(fences)
