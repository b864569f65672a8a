"""Claims by agreement of all members, while the log is out of reach: the cases that could double.

Random histories of the same are in `test_claims`; here each safeguard has the one order of events
in which a key would run twice without it.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from tests.core.claims.test_claims import VOTES, begin_outage, check_runs
from tests.core.claims_world import Fate, Instance, World
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import AppendRecords, Effect, SendPeer, StartAttempt
from turmericweir_core.messages.events import StopRequested


def begin(options: Options = VOTES, *, known: bool = True) -> World:
    """Make a world in which a view holds, and the log has just gone."""
    world = World(options)
    for _ in range(3):
        world.start()
    begin_outage(world)
    if not known:
        for instance in world.instances:
            instance.state.claims.outbox.failures = 0
    return world


def do(world: World, instance: Instance, kind: type[Effect], fate: Fate = Fate.DONE) -> None:
    """Let all that an instance has sent of one kind meet its fate."""
    for effect in [each for each in instance.pending if isinstance(each, kind)]:
        world.perform(instance, instance.pending.index(effect), fate)


def talk(world: World) -> None:
    """Deliver the messages between the instances, and the answers to them."""
    while any(isinstance(each, SendPeer) for it in world.instances for each in it.pending):
        for instance in world.instances:
            if not instance.paused:
                do(world, instance, SendPeer)


def until(world: World, holds: Callable[[], bool]) -> None:
    """Let everything work until something holds."""
    for _ in range(100):
        if holds():
            return
        world.perform_all()
        world.tick(0.1)
    raise AssertionError("it never came to hold")


def lose_all(world: World) -> None:
    """Kill all instances at once and start as many new ones."""
    for _ in list(world.instances):
        world.kill(0)


def member_names(instance: Instance) -> set[str]:
    """List the members of the view that an instance knows."""
    view = instance.state.claims.ledger.views.current
    return set() if view is None else {each.instance for each in view.members}


def log_returns(world: World) -> None:
    """Let the log work again and whatever was held up go through."""
    world.up = True
    world.calm(4.0)


def test_key_runs_in_an_outage_and_is_answered_by_all() -> None:
    world = begin()
    first, second, third = world.instances
    one = world.call(first, "k")
    talk(world)
    do(world, first, StartAttempt)
    two, other = world.call(second, "k"), world.call(third, "k", body="other")
    talk(world)
    assert world.accounts[one].outcome is Outcome.COMPLETED
    assert second.replays[two] == one.encode()
    assert world.accounts[other].reason is Reason.KEY_REUSED
    records = len(world.records)
    log_returns(world)
    held = [claim for record in world.records[records:] for claim in record["claims"]]
    assert [claim[2] for claim in held] == [one]
    check_runs(world)


def test_two_that_ask_at_once_run_one() -> None:
    """Both callers get the answer of the one run: the request with the higher id makes way."""
    world = begin()
    first, second, _ = world.instances
    two, one = world.call(second, "k"), world.call(first, "k")
    until(world, lambda: one in world.accounts and two in world.accounts)
    outcomes = {world.accounts[each].outcome for each in (one, two)}
    assert outcomes == {Outcome.COMPLETED}
    assert [run.request_id for run in world.runs] == [two]


def test_missing_member_has_callers_refused_at_once() -> None:
    """A member is gone, so nobody can agree for it. The first caller is refused once that is seen,
    and those after it at once, each with a time to come back; nothing runs."""
    world = begin()
    first = world.instances[0]
    world.pause(2, paused=True)
    one = world.call(first, "k")
    until(world, lambda: one in world.accounts)
    assert world.accounts[one].elapsed_s < 1.5
    for instance in world.instances:
        instance.state.claims.outbox.failures = 2
    two = world.call(first, "k2")
    assert world.accounts[two].elapsed_s == 0.0
    for each in (one, two):
        assert world.accounts[each].reason is Reason.CLAIM_UNAVAILABLE
        assert world.accounts[each].retry_after_s
    assert not world.runs


def test_claim_on_its_way_to_the_log_keeps_others_from_agreeing() -> None:
    """The first instance's claim is on its way when the log goes, and lands after the outage. Had
    it agreed to another's claim meanwhile, both would run."""
    world = begin(known=False)
    first, second, _ = world.instances
    one = world.call(first, "k", deadline_s=60.0)
    do(world, first, AppendRecords, Fate.LATE)
    second.state.claims.outbox.failures = 1
    two = world.call(second, "k", deadline_s=0.5)
    for _ in range(10):
        talk(world)
        do(world, second, StartAttempt)
        world.tick(0.1)
    assert world.accounts[two].outcome is Outcome.NOT_RUN
    world.up = True
    world.land_late(0)
    world.calm(4.0)
    assert [run.request_id for run in world.runs] == [one]


def test_new_view_brings_what_ran_without_the_log() -> None:
    """All agreed to a call, and its instance is paused before it sends it. The log comes back, the
    others put a new instance in its place, and the caller sends the key there. It must not run, as
    the paused one goes on with its own run."""
    world = begin()
    first = world.instances[0]
    one = world.call(first, "k", deadline_s=60.0)
    talk(world)
    (start,) = (each for each in first.pending if isinstance(each, StartAttempt))
    first.pending.remove(start)
    world.pause(0, paused=True)
    world.up = True
    fresh = world.start()
    until(world, lambda: member_names(fresh) == {"i1", "i2", "i3"})
    two = world.call(fresh, "k", deadline_s=1.0)
    world.pause(0, paused=True)
    until(world, lambda: two in world.accounts)
    assert world.accounts[two].outcome is Outcome.UNKNOWN
    first.pending.append(start)
    world.calm(4.0)
    assert [run.request_id for run in world.runs] == [one]
    check_runs(world)


def test_nothing_is_agreed_to_while_a_new_view_may_come() -> None:
    """A member has sent a new view, which lets a fourth instance in, and does not learn whether it
    landed. What it agreed to now would be missing from that record: the new instance, which knows
    nothing else, would run the key a second time."""
    world = begin(known=False)
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
    do(world, second, AppendRecords, Fate.LATE)
    first.state.claims.outbox.failures = 1
    one = world.call(first, "k", deadline_s=0.5)
    for _ in range(10):
        talk(world)
        do(world, first, StartAttempt)
        world.tick(0.1)
    assert world.accounts[one].outcome is Outcome.NOT_RUN
    assert not world.runs


def test_late_claim_of_a_former_member_does_not_count() -> None:
    """A member is paused while its claim is on its way, and left out of the view. In the next
    outage the others agree to the same key of another caller; the late claim lands before theirs.
    It must not count, or the paused one would run the key, too."""
    world = begin(known=False)
    first = world.instances[0]
    world.call(first, "k", deadline_s=600.0)
    do(world, first, AppendRecords, Fate.LATE)
    (late,) = world.late
    world.late.clear()
    world.pause(0, paused=True)
    world.up = True
    others = world.instances[1:]
    until(world, lambda: all(member_names(each) == {"i1", "i2"} for each in others))
    world.up = False
    for each in others:
        each.state.claims.outbox.failures = 1
    two = world.call(others[0], "k")
    talk(world)
    do(world, others[0], StartAttempt)
    assert world.accounts[two].outcome is Outcome.COMPLETED
    world.land(late)
    world.calm(4.0)
    assert [run.request_id for run in world.runs] == [two]


def test_agreement_outlasts_another_holder_that_withdraws() -> None:
    """The third instance agrees to the first's claim and then reads in the log that the second
    holds the key and has withdrawn. It must go on to claim the key for nobody else: the second's
    agreement may still come, and the first then runs the call by both."""
    world = World(replace(VOTES, claim_vote_wait_s=60.0))
    first, second, third = (world.start() for _ in range(3))
    world.calm(2.0)
    blocker = world.call(second, "k", deadline_s=0.3)
    first.state.claims.outbox.failures = 1
    one = world.call(first, "k", deadline_s=60.0)
    asks = {each.peer: each for each in first.pending if isinstance(each, SendPeer)}
    world.perform(first, first.pending.index(asks[third.state.me.name]), Fate.DONE)
    do(world, third, SendPeer)
    do(world, second, AppendRecords)
    while blocker not in world.accounts:
        do(world, second, StartAttempt, Fate.FAILED)
        world.tick(0.1)
    for _ in range(8):
        world.tick(0.1)
        for each in (second, third):
            world.work_on(each)
    assert world.accounts[blocker].outcome is Outcome.NOT_RUN
    world.call(third, "k", deadline_s=60.0)
    world.work_on(third)
    talk(world)
    do(world, first, StartAttempt)
    world.calm(4.0)
    assert [run.key for run in world.runs] == ["k"]
    assert world.accounts[one].outcome is Outcome.COMPLETED


def test_a_claim_on_its_way_does_not_make_way() -> None:
    """Two callers' claims of one key are on their way to the log when it goes. If the second made
    way for the first in talks, the first would run; then the second's claim lands, and it runs."""
    world = begin(known=False)
    first, second, _ = world.instances
    calls = [world.call(each, "k", deadline_s=60.0) for each in (first, second)]
    for each in (first, second):
        do(world, each, AppendRecords, Fate.LATE)
    for _ in range(5):
        talk(world)
        do(world, first, StartAttempt)
        world.tick(0.1)
    world.up = True
    world.land_late(1)
    world.calm(4.0)
    assert {world.accounts[each].outcome for each in calls} == {Outcome.COMPLETED}
    assert [run.request_id for run in world.runs] == [calls[1]]


def test_members_of_a_newer_view_agree_to_nothing_under_the_older() -> None:
    """The first instance is paused for a while, in which the others let a fourth in, which runs the
    key. The others have not read that yet when the first asks them, and only the older view in its
    question tells them that their agreement is not enough."""
    world = begin(replace(VOTES, claim_view_quiet_s=600.0), known=False)
    first, second, third = world.instances
    world.pause(0, paused=True)
    world.up = True
    fresh = world.start()
    until(world, lambda: all(len(member_names(each)) == 4 for each in (second, third, fresh)))
    two = world.call(fresh, "k")
    world.work_on(fresh)
    assert world.accounts[two].outcome is Outcome.COMPLETED
    world.pause(0, paused=False)
    world.up = False
    first.state.claims.outbox.failures = 1
    world.tick(0.0)
    one = world.call(first, "k", deadline_s=0.5)
    for _ in range(10):
        talk(world)
        do(world, first, StartAttempt)
        world.tick(0.1)
    assert world.accounts[one].outcome is not Outcome.COMPLETED
    assert [run.request_id for run in world.runs] == [two]


def test_operator_vouches_for_the_end_of_a_view() -> None:
    """All instances are lost at once. Nobody knows what they agreed to, so new ones refuse all keys
    until an operator names the view as ended; then a new one begins, and keys run once again."""
    world = begin()
    lose_all(world)
    world.up = True
    world.calm(2.0)
    one = world.call(world.instances[0], "k", deadline_s=1.0)
    world.calm(2.0)
    assert world.accounts[one].reason is Reason.CLAIM_UNAVAILABLE
    view = world.truth.views.current
    assert view is not None
    for instance in world.instances:
        instance.state.options = replace(VOTES, claim_replace_epoch=view.epoch)
    until(world, lambda: len(member_names(world.instances[0])) == 3)
    calls = [world.call(each, "k") for each in world.instances]
    world.calm(2.0)
    assert {world.accounts[each].outcome for each in calls} == {Outcome.COMPLETED}
    assert len(world.runs) == 1


def test_no_silence_frees_the_keys_of_a_lost_view() -> None:
    """A call runs by agreement in an outage, and all instances are lost before the log has it. New
    ones find a log that works and members that say nothing for hours. The caller, who never got an
    answer, sends the key again. It must not run: the log looks just as if it had never run, so
    there is no wait below the retention after which new instances may begin by themselves."""
    world = begin()
    first = world.instances[0]
    world.call(first, "k")
    talk(world)
    do(world, first, StartAttempt, Fate.UNACKNOWLEDGED)
    lose_all(world)
    world.up = True
    world.late.clear()
    for _ in range(24):
        world.calm(1.0)
        world.tick(600.0)
    again = world.call(world.instances[0], "k", deadline_s=1.0)
    world.calm(2.0)
    assert world.accounts[again].reason is Reason.CLAIM_UNAVAILABLE
    assert len(world.runs) == 1


def test_last_instance_that_stops_leaves_an_empty_view() -> None:
    """All instances stop in order, and others start later. They claim at once: nothing can have run
    by agreement of those that have left."""
    world = begin()
    world.up = True
    for instance in world.instances:
        world.handle(instance, StopRequested())
    until(
        world,
        lambda: world.truth.views.current is not None and not world.truth.views.current.members,
    )
    world.instances.clear()
    fresh = world.start()
    world.calm(1.0)
    one = world.call(fresh, "k")
    world.perform_all()
    assert world.accounts[one].outcome is Outcome.COMPLETED


def test_first_view_waits_until_nobody_comes_any_more() -> None:
    """Instances start one after the other. The first two would soon make a view of themselves, and
    are cut off; the third's caller is refused then, though the log works, as members alone may
    claim. Before there is a view everybody may, so it is made when nobody new has come."""
    world = World(replace(VOTES, claim_view_met_s=1.0, claim_view_first_s=4.0))
    for _ in range(2):
        world.start()
        for _ in range(8):
            world.perform_all()
            world.tick(0.1)
    fresh = world.start()
    for index in range(2):
        world.pause(index, paused=True)
    one = world.call(fresh, "k")
    until(world, lambda: one in world.accounts)
    assert world.accounts[one].outcome is Outcome.COMPLETED
    world.calm(2.0)
    assert [member_names(each) for each in world.instances] == [{"i0", "i1", "i2"}] * 3


def test_only_member_lets_all_others_in_at_once() -> None:
    """An instance is alone in the view when others start. It is cut off from the log and from them
    a moment after it has heard of them. Had it waited for a lot that is drawn among all, none of
    the others would be a member, and their callers' keys refused until it is back."""
    world = World(replace(VOTES, claim_lot=0.2))
    world.start()
    world.calm(5.0)
    assert member_names(world.instances[0]) == {"i0"}
    fresh = [world.start() for _ in range(3)]
    for _ in range(3):
        world.tick(0.1)
        world.perform_all()
    world.pause(0, paused=True)
    calls = [world.call(each, f"k{index}") for index, each in enumerate(fresh)]
    until(world, lambda: all(each in world.accounts for each in calls))
    assert {world.accounts[each].outcome for each in calls} == {Outcome.COMPLETED}
