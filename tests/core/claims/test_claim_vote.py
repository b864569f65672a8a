"""Tests of claims by agreement of all members while the log is unreachable.

Each test plays the order of events in which a key would run twice without one safeguard. Random
histories are in `test_claims`.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from tests.core.claims.test_claims import VOTES, begin_outage, check_runs
from tests.core.claims_world import Delivery, Instance, World
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import AppendRecords, Effect, SendPeer, StartAttempt
from turmericweir_core.messages.events import StopRequested


def world_in_outage(options: Options = VOTES, *, is_detected: bool = True) -> World:
    """Return a world with a view whose log has just failed."""
    world = World(options)
    for _ in range(3):
        world.start()
    begin_outage(world)
    if not is_detected:
        for instance in world.instances:
            instance.state.claims.outbox.failures = 0
    return world


def perform_all_of(
    world: World, instance: Instance, kind: type[Effect], delivery: Delivery = Delivery.DONE
) -> None:
    """Perform all pending effects of one kind of an instance."""
    for effect in [each for each in instance.pending if isinstance(each, kind)]:
        world.perform(instance, instance.pending.index(effect), delivery)


def exchange_messages(world: World) -> None:
    """Deliver the messages between the instances, and the answers to them."""
    while any(isinstance(each, SendPeer) for it in world.instances for each in it.pending):
        for instance in world.instances:
            if not instance.paused:
                perform_all_of(world, instance, SendPeer)


def run_until(world: World, condition: Callable[[], bool]) -> None:
    """Run without failures until a condition holds."""
    for _ in range(100):
        if condition():
            return
        world.perform_all()
        world.tick(0.1)
    raise AssertionError("the condition did not hold in time")


def replace_all(world: World) -> None:
    """Replace all instances by new ones at once."""
    for _ in list(world.instances):
        world.kill(0)


def member_names(instance: Instance) -> set[str]:
    """Return the names of the members of an instance's view."""
    view = instance.state.claims.ledger.views.current
    return set() if view is None else {each.instance for each in view.members}


def restore_log(world: World) -> None:
    """Restore the log and run without failures."""
    world.is_log_up = True
    world.run_normally(4.0)


def test_key_runs_in_an_outage_and_is_answered_by_all() -> None:
    world = world_in_outage()
    first, second, third = world.instances
    request_1 = world.call(first, "k")
    exchange_messages(world)
    perform_all_of(world, first, StartAttempt)
    request_2, other = world.call(second, "k"), world.call(third, "k", body="other")
    exchange_messages(world)
    assert world.accounts[request_1].outcome is Outcome.COMPLETED
    assert second.replays[request_2] == request_1.encode()
    assert world.accounts[other].reason is Reason.KEY_REUSED
    records = len(world.records)
    restore_log(world)
    claims = [claim for record in world.records[records:] for claim in record["claims"]]
    assert [claim[2] for claim in claims] == [request_1]
    check_runs(world)


def test_two_simultaneous_calls_run_once() -> None:
    """The request with the higher id yields, and both callers get the answer of one run."""
    world = world_in_outage()
    first, second, _ = world.instances
    request_2, request_1 = world.call(second, "k"), world.call(first, "k")
    run_until(world, lambda: request_1 in world.accounts and request_2 in world.accounts)
    outcomes = {world.accounts[each].outcome for each in (request_1, request_2)}
    assert outcomes == {Outcome.COMPLETED}
    assert [run.request_id for run in world.runs] == [request_2]


def test_missing_member_causes_refusal() -> None:
    """A missing member prevents agreement: calls are refused with a retry time and do not run."""
    world = world_in_outage()
    first = world.instances[0]
    world.pause(2, paused=True)
    request_1 = world.call(first, "k")
    run_until(world, lambda: request_1 in world.accounts)
    assert world.accounts[request_1].elapsed_s < 1.5
    for instance in world.instances:
        instance.state.claims.outbox.failures = 2
    request_2 = world.call(first, "k2")
    assert world.accounts[request_2].elapsed_s == 0.0
    for each in (request_1, request_2):
        assert world.accounts[each].reason is Reason.CLAIM_UNAVAILABLE
        assert world.accounts[each].retry_after_s
    assert not world.runs


def test_claim_on_its_way_to_the_log_prevents_agreement() -> None:
    """Prevents a second run by agreement while the first claim is on its way to the log."""
    world = world_in_outage(is_detected=False)
    first, second, _ = world.instances
    request_1 = world.call(first, "k", deadline_s=60.0)
    perform_all_of(world, first, AppendRecords, Delivery.LATE)
    second.state.claims.outbox.failures = 1
    request_2 = world.call(second, "k", deadline_s=0.5)
    for _ in range(10):
        exchange_messages(world)
        perform_all_of(world, second, StartAttempt)
        world.tick(0.1)
    assert world.accounts[request_2].outcome is Outcome.NOT_RUN
    world.is_log_up = True
    world.land_late(0)
    world.run_normally(4.0)
    assert [run.request_id for run in world.runs] == [request_1]


def test_new_view_includes_agreed_calls() -> None:
    """Prevents a second run at a new instance after a member was paused with an agreed call."""
    world = world_in_outage()
    first = world.instances[0]
    request_1 = world.call(first, "k", deadline_s=60.0)
    exchange_messages(world)
    (start,) = (each for each in first.pending if isinstance(each, StartAttempt))
    first.pending.remove(start)
    world.pause(0, paused=True)
    world.is_log_up = True
    new_instance = world.start()
    run_until(world, lambda: member_names(new_instance) == {"i1", "i2", "i3"})
    request_2 = world.call(new_instance, "k", deadline_s=1.0)
    world.pause(0, paused=True)
    run_until(world, lambda: request_2 in world.accounts)
    assert world.accounts[request_2].outcome is Outcome.UNKNOWN
    first.pending.append(start)
    world.run_normally(4.0)
    assert [run.request_id for run in world.runs] == [request_1]
    check_runs(world)


def test_no_agreement_during_an_unconfirmed_view_change() -> None:
    """Prevents agreements that are missing from an unconfirmed view change, as a new member would
    not know them and run the key a second time."""
    world = world_in_outage(is_detected=False)
    first, second, _ = world.instances
    world.start()
    while not any(
        isinstance(each, AppendRecords) and "change" in each.records[0] for each in second.pending
    ):
        for instance in world.instances:
            if instance is not second:
                instance.pending.clear()
        second.pending.clear()
        second.state.claims.outbox.in_flight = None
        world.tick(0.1)
    perform_all_of(world, second, AppendRecords, Delivery.LATE)
    first.state.claims.outbox.failures = 1
    request_1 = world.call(first, "k", deadline_s=0.5)
    for _ in range(10):
        exchange_messages(world)
        perform_all_of(world, first, StartAttempt)
        world.tick(0.1)
    assert world.accounts[request_1].outcome is Outcome.NOT_RUN
    assert not world.runs


def test_delayed_claim_of_a_former_member_is_void() -> None:
    """Prevents a second run by a removed member whose delayed claim lands before the claim that the
    others agreed to."""
    world = world_in_outage(is_detected=False)
    first = world.instances[0]
    world.call(first, "k", deadline_s=600.0)
    perform_all_of(world, first, AppendRecords, Delivery.LATE)
    (late,) = world.late
    world.late.clear()
    world.pause(0, paused=True)
    world.is_log_up = True
    others = world.instances[1:]
    run_until(world, lambda: all(member_names(each) == {"i1", "i2"} for each in others))
    world.is_log_up = False
    for each in others:
        each.state.claims.outbox.failures = 1
    request_2 = world.call(others[0], "k")
    exchange_messages(world)
    perform_all_of(world, others[0], StartAttempt)
    assert world.accounts[request_2].outcome is Outcome.COMPLETED
    world.land(late)
    world.run_normally(4.0)
    assert [run.request_id for run in world.runs] == [request_2]


def test_agreement_is_kept_when_another_holder_withdraws() -> None:
    """Prevents the third instance from dropping its agreement when another holder of the key
    withdraws, as the first can still run with the agreement of the second."""
    world = World(replace(VOTES, claim_vote_wait_s=60.0))
    first, second, third = (world.start() for _ in range(3))
    world.run_normally(2.0)
    blocker = world.call(second, "k", deadline_s=0.3)
    first.state.claims.outbox.failures = 1
    request_1 = world.call(first, "k", deadline_s=60.0)
    asks = {each.peer: each for each in first.pending if isinstance(each, SendPeer)}
    world.perform(first, first.pending.index(asks[third.state.me.name]), Delivery.DONE)
    perform_all_of(world, third, SendPeer)
    perform_all_of(world, second, AppendRecords)
    while blocker not in world.accounts:
        perform_all_of(world, second, StartAttempt, Delivery.FAILED)
        world.tick(0.1)
    for _ in range(8):
        world.tick(0.1)
        for each in (second, third):
            world.work_on(each)
    assert world.accounts[blocker].outcome is Outcome.NOT_RUN
    world.call(third, "k", deadline_s=60.0)
    world.work_on(third)
    exchange_messages(world)
    perform_all_of(world, first, StartAttempt)
    world.run_normally(4.0)
    assert [run.key for run in world.runs] == ["k"]
    assert world.accounts[request_1].outcome is Outcome.COMPLETED


def test_claim_on_its_way_does_not_yield() -> None:
    """Prevents a claim that is on its way to the log from yielding to another, as it can still land
    and run."""
    world = world_in_outage(is_detected=False)
    first, second, _ = world.instances
    calls = [world.call(each, "k", deadline_s=60.0) for each in (first, second)]
    for each in (first, second):
        perform_all_of(world, each, AppendRecords, Delivery.LATE)
    for _ in range(5):
        exchange_messages(world)
        perform_all_of(world, first, StartAttempt)
        world.tick(0.1)
    world.is_log_up = True
    world.land_late(1)
    world.run_normally(4.0)
    assert {world.accounts[each].outcome for each in calls} == {Outcome.COMPLETED}
    assert [run.request_id for run in world.runs] == [calls[1]]


def test_no_agreement_under_an_older_view() -> None:
    """Prevents agreement with an instance that asks under an older view, as a newer member may have
    run the key."""
    world = world_in_outage(replace(VOTES, claim_view_quiet_s=600.0), is_detected=False)
    first, second, third = world.instances
    world.pause(0, paused=True)
    world.is_log_up = True
    new_instance = world.start()
    run_until(
        world, lambda: all(len(member_names(each)) == 4 for each in (second, third, new_instance))
    )
    request_2 = world.call(new_instance, "k")
    world.work_on(new_instance)
    assert world.accounts[request_2].outcome is Outcome.COMPLETED
    world.pause(0, paused=False)
    world.is_log_up = False
    first.state.claims.outbox.failures = 1
    world.tick(0.0)
    request_1 = world.call(first, "k", deadline_s=0.5)
    for _ in range(10):
        exchange_messages(world)
        perform_all_of(world, first, StartAttempt)
        world.tick(0.1)
    assert world.accounts[request_1].outcome is not Outcome.COMPLETED
    assert [run.request_id for run in world.runs] == [request_2]


def test_operator_declares_a_view_ended() -> None:
    """After the loss of all members, keys are refused until an operator declares the view ended."""
    world = world_in_outage()
    replace_all(world)
    world.is_log_up = True
    world.run_normally(2.0)
    request_1 = world.call(world.instances[0], "k", deadline_s=1.0)
    world.run_normally(2.0)
    assert world.accounts[request_1].reason is Reason.CLAIM_UNAVAILABLE
    view = world.truth.views.current
    assert view is not None
    for instance in world.instances:
        instance.state.options = replace(VOTES, claim_replace_epoch=view.epoch)
    run_until(world, lambda: len(member_names(world.instances[0])) == 3)
    calls = [world.call(each, "k") for each in world.instances]
    world.run_normally(2.0)
    assert {world.accounts[each].outcome for each in calls} == {Outcome.COMPLETED}
    assert len(world.runs) == 1


def test_keys_of_a_lost_view_stay_refused() -> None:
    """Prevents new instances from running a key again, however long the lost members of the view
    are unresponsive, as the lost members may have run it by agreement."""
    world = world_in_outage()
    first = world.instances[0]
    world.call(first, "k")
    exchange_messages(world)
    perform_all_of(world, first, StartAttempt, Delivery.UNACKNOWLEDGED)
    replace_all(world)
    world.is_log_up = True
    world.late.clear()
    for _ in range(24):
        world.run_normally(1.0)
        world.tick(600.0)
    again = world.call(world.instances[0], "k", deadline_s=1.0)
    world.run_normally(2.0)
    assert world.accounts[again].reason is Reason.CLAIM_UNAVAILABLE
    assert len(world.runs) == 1


def test_last_instance_to_stop_leaves_an_empty_view() -> None:
    """After an orderly stop of all instances, new instances can claim at once."""
    world = world_in_outage()
    world.is_log_up = True
    for instance in world.instances:
        world.handle(instance, StopRequested())
    run_until(
        world,
        lambda: world.truth.views.current is not None and not world.truth.views.current.members,
    )
    world.instances.clear()
    new_instance = world.start()
    world.run_normally(1.0)
    request_1 = world.call(new_instance, "k")
    world.perform_all()
    assert world.accounts[request_1].outcome is Outcome.COMPLETED


def test_first_view_waits_for_stable_membership() -> None:
    """Prevents a first view of two instances while a third starts, which could not claim if the
    members became unreachable."""
    world = World(replace(VOTES, claim_view_met_s=1.0, claim_view_first_s=4.0))
    for _ in range(2):
        world.start()
        for _ in range(8):
            world.perform_all()
            world.tick(0.1)
    new_instance = world.start()
    for index in range(2):
        world.pause(index, paused=True)
    request_1 = world.call(new_instance, "k")
    run_until(world, lambda: request_1 in world.accounts)
    assert world.accounts[request_1].outcome is Outcome.COMPLETED
    world.run_normally(2.0)
    assert [member_names(each) for each in world.instances] == [{"i0", "i1", "i2"}] * 3


def test_single_member_adds_all_others_at_once() -> None:
    """Prevents a single member from waiting for its lot among all instances before it adds them to
    the view, as it could become unreachable first."""
    world = World(replace(VOTES, claim_lot=0.2))
    world.start()
    world.run_normally(5.0)
    assert member_names(world.instances[0]) == {"i0"}
    new_instances = [world.start() for _ in range(3)]
    for _ in range(3):
        world.tick(0.1)
        world.perform_all()
    world.pause(0, paused=True)
    calls = [world.call(each, f"k{index}") for index, each in enumerate(new_instances)]
    run_until(world, lambda: all(each in world.accounts for each in calls))
    assert {world.accounts[each].outcome for each in calls} == {Outcome.COMPLETED}
