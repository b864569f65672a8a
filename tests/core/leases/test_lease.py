"""Leases: one holder at a time by everybody's own clock, whatever is lost, late or paused."""

from __future__ import annotations

from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.lease_world import OPTIONS, SCOPE, Fate, Instance, World
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.effects import AppendRecords
from turmericweir_core.records.lease_record import Act, LeaseRecord, Scope, decode, encode
from turmericweir_core.state.lease_ledger import Ledger, begin, fold

WAIT_S: Final = OPTIONS.lease_s + OPTIONS.lease_margin_s


def wanting(world: World, count: int) -> list[Instance]:
    """Start instances that all want the lease."""
    started = [world.start() for _ in range(count)]
    for each in started:
        lease_flow.want(each.state, world.clock(each), SCOPE)
    return started


def fence_of(world: World, instance: Instance) -> int | None:
    lease = lease_flow.held(instance.state, world.clock(instance), SCOPE)
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
    holder = wanting(world, 1)[0]
    world.run(0.5)
    assert fence_of(world, holder) == 0
    world.run(20.0)
    assert fence_of(world, holder) == 0
    # One renewal for each `lease_renew_s`, and nothing else.
    assert 18 <= len(world.records) - 1 <= 21


def test_two_that_want_it_at_once_get_one_holder() -> None:
    world = World()
    wanting(world, 2)
    world.run(2.0)
    assert len(world.holders()) == 1


def test_given_back_lease_goes_to_the_next_at_once_with_a_higher_number() -> None:
    world = World()
    first, second = wanting(world, 2)
    world.run(1.0)
    holder = world.holders()[0]
    successor = second if holder is first else first
    before = fence_of(world, holder)
    assert before is not None

    lease_flow.unwant(holder.state, SCOPE)
    world.run(1.0)

    after = fence_of(world, successor)
    assert after is not None
    assert after > before
    lease = lease_flow.held(successor.state, world.clock(successor), SCOPE)
    assert lease is not None
    assert not lease.taken_over


def test_successor_of_a_dead_holder_waits_the_lease_and_the_margin() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(1.0)
    successor = wanting(world, 1)[0]
    world.run(1.0)
    holder.paused = True

    paused_at = world.now
    while not fence_of(world, successor):
        world.run(0.1)
        assert world.now < paused_at + 3 * WAIT_S
    assert fence_of(world, holder) is None
    lease = lease_flow.held(successor.state, world.clock(successor), SCOPE)
    assert lease is not None
    assert lease.taken_over


def test_paused_holder_finds_its_lease_lapsed_and_does_not_renew_over_the_successor() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(1.0)
    successor = wanting(world, 1)[0]
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


def test_holder_that_lapsed_in_an_outage_goes_on_under_its_number_if_nobody_came() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(1.0)
    until = world.now + 2 * WAIT_S
    while world.now < until:
        world.tick(0.1)
        while holder.pending:
            world.perform(holder, Fate.FAILED)
        world.check()
    assert fence_of(world, holder) is None
    world.run(1.0)
    assert fence_of(world, holder) == 0


def test_lost_acknowledgement_is_settled_by_reading_on() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.tick(0.1)
    world.perform(holder)
    assert isinstance(holder.pending[0], AppendRecords)
    sent_at = world.clock(holder)
    world.perform(holder, Fate.UNACKNOWLEDGED)
    world.run(0.5)
    lease = lease_flow.held(holder.state, world.clock(holder), SCOPE)
    assert lease is not None
    # From before it was sent, not from when it was found.
    assert lease.expires_at == pytest.approx(sent_at + OPTIONS.lease_s)
    assert len(world.records) == 1


def test_acknowledgement_that_comes_after_the_lease_brings_none() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.tick(0.1)
    world.perform(holder)
    world.perform(holder, Fate.SLOW)
    world.now += OPTIONS.lease_s
    world.hear(holder)
    assert fence_of(world, holder) is None


def test_number_that_a_server_refused_is_not_renewed() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(1.0)
    assert fence_of(world, holder) == 0
    lease_flow.drop(holder.state, world.clock(holder), SCOPE)
    assert fence_of(world, holder) is None
    world.run(2 * WAIT_S)
    fence = fence_of(world, holder)
    assert fence is not None
    assert fence > 0


def test_instance_that_starts_on_a_used_stream_reads_only_its_end() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(10.0)
    reader = wanting(world, 1)[0]
    world.tick(0.1)
    world.perform(reader)
    assert reader.state.leases.ledger.start == len(world.records)
    world.run(2 * WAIT_S)
    assert fence_of(world, holder) == 0
    assert fence_of(world, reader) is None


def test_stream_that_let_go_of_the_grant_still_has_one_holder() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(5.0)
    world.oldest = len(world.records)
    wanting(world, 2)
    world.run(2 * WAIT_S)
    assert world.holders() == [holder]


def test_holder_keeps_its_number_where_the_log_let_go_of_its_grant() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(5.0)
    # Records of another scope, so that the next acknowledgement is not of the record next to read.
    elsewhere = LeaseRecord(Act.GRANT, Scope("other", "dc-1"), "b", "b", 1, 0, -1, 3.0)
    world.records += [encode(elsewhere), encode(elsewhere)]
    world.oldest = len(world.records)
    world.run(2 * WAIT_S)
    assert any(log.event == "leases_gap" for log in holder.logs)
    assert {order.fence for order in world.given} == {0}


def test_platform_that_lost_its_records_is_noticed() -> None:
    world = World()
    holder = wanting(world, 1)[0]
    world.run(5.0)
    world.records.clear()
    world.run(2 * WAIT_S)
    other = wanting(world, 1)[0]
    world.run(2 * WAIT_S)
    assert len(world.holders()) == 1
    assert any(log.event == "log_shorter" for each in (holder, other) for log in each.logs)


def test_margin_covers_clocks_that_run_apart() -> None:
    world = World()
    world.start()
    holder, successor = wanting(world, 2)
    assert holder.rate < 1.0 < successor.rate
    world.run(0.5, 0.02)
    assert world.holders() == [holder]
    renewed = len(world.records) + 1
    while len(world.records) < renewed:
        world.run(0.02, 0.02)
    # The holder stops right after it renewed, and the successor reads that at once.
    holder.paused = True
    successor.state.leases.read_due = 0.0
    world.run(2 * WAIT_S, 0.02)
    assert world.holders() == [successor]


def test_own_late_grant_counts_for_nothing_where_records_before_it_were_let_go() -> None:
    world = World()
    slow, rival = wanting(world, 2)
    world.tick(0.1)
    world.perform(slow)
    world.perform(slow, Fate.LATE)
    world.perform(rival)
    world.perform(rival)
    assert world.holders() == [rival]
    # The rival's grant is let go of before the slow one reads on, and its own lands after that.
    world.oldest = len(world.records)
    world.perform(slow)
    world.land_late()
    world.run(1.0)
    assert world.holders() == [rival]


# --- the fold --------------------------------------------------------------------------------


def record(act: Act, number: int, upto: int, by: str = "a", fence: int = -1) -> dict[str, Any]:
    return encode(LeaseRecord(act, SCOPE, by, by, number, upto, fence, 3.0))


def test_first_of_two_rival_grants_wins_by_its_offset() -> None:
    ledger = Ledger()
    begin(ledger, 0, 0.0)
    assert fold(ledger, 1.0, 0, record(Act.GRANT, 1, 0, "a")).valid
    assert not fold(ledger, 1.0, 1, record(Act.GRANT, 1, 0, "b")).valid
    assert ledger.leases[SCOPE].instance == "a"
    assert ledger.leases[SCOPE].fence == 0


def test_renewal_that_lands_after_the_successors_grant_is_void() -> None:
    ledger = Ledger()
    begin(ledger, 0, 0.0)
    fold(ledger, 1.0, 0, record(Act.GRANT, 1, 0, "a"))
    assert fold(ledger, 1.0, 1, record(Act.GRANT, 1, 1, "b")).valid
    assert not fold(ledger, 1.0, 2, record(Act.RENEW, 2, 1, "a", fence=0)).valid
    assert ledger.leases[SCOPE].instance == "b"


def test_release_of_which_the_reader_cannot_be_sure_is_waited_out() -> None:
    ledger = Ledger()
    begin(ledger, 5, 0.0)
    folded = fold(ledger, 1.0, 5, record(Act.RELEASE, 9, 3, "a", fence=0))
    assert folded.valid
    assert not folded.sure
    assert not ledger.leases[SCOPE].released


@pytest.mark.parametrize(
    "value",
    [
        None,
        7,
        [],
        {},
        {"act": "steal"},
        {**record(Act.GRANT, 1, 0), "upto": "0"},
        {**record(Act.GRANT, 1, 0), "by": ["a"]},
        {**record(Act.GRANT, 1, 0), "lease_s": -1},
        {**record(Act.GRANT, 1, 0), "lease_s": True},
        {**record(Act.GRANT, 1, 0), "service": 4},
    ],
)
def test_malformed_record_is_skipped(value: Any) -> None:
    ledger = Ledger()
    begin(ledger, 0, 0.0)
    assert fold(ledger, 1.0, 0, value).record is None
    assert ledger.offset == 1
    assert ledger.leases == {}


def test_record_comes_through_encoding() -> None:
    value = LeaseRecord(Act.RENEW, SCOPE, "a", "a-1", 3, 17, 12, 30.0)
    assert decode(encode(value)) == value


# --- anything at all -------------------------------------------------------------------------

INDEX: Final = st.integers(0, 2)
STEPS: Final = st.one_of(
    st.tuples(st.just("tick"), st.sampled_from([0.05, 0.1, 0.3, 1.0])),
    st.tuples(st.just("tick"), st.sampled_from([0.1, 3.0, 3.4, 4.0])),
    st.tuples(st.just("perform"), INDEX, st.sampled_from(list(Fate))),
    st.tuples(st.just("perform"), INDEX, st.just(Fate.DONE)),
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
    """Do one step of a random run."""
    match step:
        case ("tick", seconds):
            world.tick(seconds)
        case ("calm", seconds):
            world.run(seconds)
        case ("land",):
            world.land_late()
        case ("let_go",):
            world.oldest = len(world.records)
        case (name, index, *rest):
            apply_to(world, world.instances[index], name, rest)
        case _:
            raise AssertionError(step)


def apply_to(world: World, instance: Instance, name: str, rest: list[Any]) -> None:
    """Do one step to an instance."""
    match name:
        case "perform":
            world.perform(instance, rest[0])
        case "hear":
            world.hear(instance)
        case "pause":
            instance.paused = True
        case "resume":
            world.resume(instance)
        case "want" if not instance.paused:
            lease_flow.want(instance.state, world.clock(instance), SCOPE)
        case "unwant" if not instance.paused:
            lease_flow.unwant(instance.state, SCOPE)
        case "drop" if not instance.paused:
            lease_flow.drop(instance.state, world.clock(instance), SCOPE)
        case "kill":
            kill(world, instance)
        case _:
            # A paused process wants nothing new.
            assert instance.paused


def kill(world: World, instance: Instance) -> None:
    """Replace an instance; what it has sent may still take effect."""
    for effect in instance.pending:
        if isinstance(effect, AppendRecords):
            world.late += effect.records
    index = world.instances.index(instance)
    fresh = world.start()
    world.instances.remove(fresh)
    world.instances[index] = fresh
    lease_flow.want(fresh.state, world.clock(fresh), SCOPE)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=80))
def test_never_two_holders_and_numbers_never_go_down(steps: list[tuple[Any, ...]]) -> None:
    world = World()
    wanting(world, 3)
    world.run(0.5)
    for step in steps:
        apply(world, step)
        world.check()
    for each in world.instances:
        world.resume(each)
        lease_flow.want(each.state, world.clock(each), SCOPE)
    world.run(4 * WAIT_S)
    # Whatever happened, somebody holds it in the end.
    assert len(world.holders()) == 1
    fences = [order.fence for order in world.given]
    assert fences == sorted(fences)
