"""Tests of the credit policy: grants, recalls, and failures of messages and dispatchers."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import DATA_CENTRE, MODEL, LoadWorld, report_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import CancelReason
from turmericweir_core.credits import dispatcher_selection
from turmericweir_core.credits.credit_allocation import Capacity, Want, allocate
from turmericweir_core.membership.subset import rendezvous_weight, target_subset
from turmericweir_core.messages.credit_messages import CreditDemand, CreditGrant, TierDemand
from turmericweir_core.messages.events import PeerReceived, Tick
from turmericweir_core.state.credit_state import CreditLedger
from turmericweir_core.state.state import State

S0 = ServerName("s0")


def make_world(
    *, instances: int = 3, servers: int = 1, slots: int = 4, options: Options | None = None
) -> LoadWorld:
    """Return a world with the credit policy whose instances have discovered each other."""
    world = LoadWorld(
        instances=instances,
        servers=servers,
        slots=slots,
        policy=PlacementPolicy.CREDITS,
        options=options,
    )
    world.advance(0.3)
    return world


def agreed_dispatcher(world: LoadWorld, server: ServerName = S0) -> InstanceName:
    """Return the dispatcher of a server, on which all instances agree."""
    dispatchers = {
        dispatcher_selection.dispatcher_of(state, world.now, state.servers.by_name[server])
        for state in world.states.values()
    }
    assert len(dispatchers) == 1
    (name,) = dispatchers
    assert name is not None
    return name


def usable_credit(world: LoadWorld, state: State, server: ServerName) -> int:
    """Return the number of slots that an instance may use under its current grant."""
    credit = state.credits.held_by_server.get(server)
    if credit is None or world.now >= credit.valid_until:
        return 0
    return sum(credit.slots.values())


def index_of(world: LoadWorld, name: InstanceName) -> int:
    """Return the index of an instance in its world."""
    return list(world.states).index(name)


# --- the allocation --------------------------------------------------------------------------

WANTS = st.dictionaries(
    st.tuples(st.integers(0, 5), st.integers(0, 3)),
    st.tuples(st.integers(0, 6), st.integers(0, 6)),
    max_size=12,
)


@settings(deadline=None)
@given(WANTS, st.integers(0, 20), st.integers(0, 20), st.integers(0, 4), st.sets(st.integers(1, 3)))
def test_allocation(
    wants: dict[tuple[int, int], tuple[int, int]],
    slots: int,
    lower: int,
    spare: int,
    assured: set[int],
) -> None:
    """Allocate within the capacity, and nothing to a tier while more urgent ones lack slots."""
    capacity = Capacity(slots, min(slots, lower), spare, most_urgent=0, lowest=3)
    names = [InstanceName(f"entry-{number}") for number in range(6)]
    listed_wants = [
        Want(names[number], tier, running, waiting)
        for (number, tier), (running, waiting) in wants.items()
    ]
    shares = allocate(capacity, names, listed_wants, sorted(assured))
    assert sum(share.total() for share in shares.values()) <= slots
    given_to = {
        tier: sum(share.slots.get(tier, 0) for share in shares.values()) for tier in range(4)
    }
    assured_slots = {
        tier: sum(share.assured.get(tier, 0) for share in shares.values()) for tier in range(4)
    }
    wanted = {
        tier: sum(want.slots for want in listed_wants if want.tier == tier) for tier in range(4)
    }
    # Each tier of `assured` gets at most one assured slot, whatever the upper tiers want.
    assert sum(assured_slots.values()) <= len(assured)
    assert sum(given_to[tier] for tier in (1, 2, 3)) <= max(
        capacity.lower_slots, sum(assured_slots.values())
    )
    if given_to[0] < wanted[0]:
        assert all(given_to[tier] <= assured_slots[tier] for tier in (1, 2, 3))
    elif given_to[1] < wanted[1]:
        assert all(given_to[tier] <= assured_slots[tier] for tier in (2, 3))


@settings(deadline=None)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=6), st.integers(0, 20))
def test_allocation_is_fair_within_a_tier(sizes: list[int], slots: int) -> None:
    """Give no instance more than one slot more than an instance with the same or more demand."""
    names = [InstanceName(f"entry-{number}") for number in range(len(sizes))]
    capacity = Capacity(slots, slots, 0, most_urgent=0, lowest=1)
    wants = [Want(name, 0, 0, size) for name, size in zip(names, sizes, strict=True)]
    shares = allocate(capacity, names, wants, [])
    assert sum(share.total() for share in shares.values()) == min(slots, sum(sizes))
    for name, size in zip(names, sizes, strict=True):
        for other, other_size in zip(names, sizes, strict=True):
            if size <= other_size:
                assert shares[name].total() <= shares[other].total() + 1


# --- one dispatcher --------------------------------------------------------------------------


def test_no_message_while_credit_covers_the_work() -> None:
    """Use the granted credit, including spare slots, without sending messages."""
    world = make_world(instances=2, slots=8)
    for round_number in range(100):
        if round_number == 2:
            # Each instance holds credit now, and its dispatcher knows that nothing waits.
            before = world.messages
        for number in range(2):
            world.arrive("counter", instance=number)
        world.now += 0.025
        for running in list(world.running.values()):
            world.end(running)
    assert world.messages == before
    assert world.accounts_by_class["counter"].count(Outcome.COMPLETED) == 200


def test_renewals_are_few() -> None:
    """Renew credit that is in use, and let unused credit expire."""
    world = make_world(instances=2, slots=8)
    world.arrive("quote", instance=0, deadline_s=1e6)
    world.arrive("quote", instance=1, deadline_s=1e6)
    before = world.messages
    for _ in range(300):
        for running in world.running.values():
            world.progress(running, 1)
        world.advance(0.1)
    # One instance is the dispatcher. The other sends ten renewals in 30 s, each answered.
    assert world.messages - before <= 22
    for running in list(world.running.values()):
        world.end(running)
    world.advance(world.options.credit_ttl_s * 2)
    before = world.messages
    world.advance(30)
    assert world.messages == before
    assert all(not state.credits.held_by_server for state in world.states.values())
    assert all(not state.credits.granted_by_server for state in world.states.values())


def test_a_request_that_fits_costs_one_demand_and_its_grant() -> None:
    # The start and end of a request within its grant are not reported. Prevents two more messages
    # and their answers for each request.
    world = make_world(instances=2, slots=8)
    dispatcher = agreed_dispatcher(world)
    other = next(number for number, name in enumerate(world.states) if name != dispatcher)
    world.arrive("counter", instance=other)
    world.advance(0.3)
    world.end(world.oldest())
    world.advance(2.0)
    assert world.messages == 2
    # The granted slots are in use again, so waiting requests must be reported to the dispatcher.
    for name in ("c1", "c2", "c3", "c4"):
        world.arrive("counter", instance=other, name=name)
    assert {"c1", "c2", "c3", "c4"} <= set(world.running_ids())


@pytest.mark.parametrize("kind", [ServiceKind.MODEL, ServiceKind.PLAIN])
@pytest.mark.parametrize("lost", [False, True])
def test_idle_credit_of_others_is_no_shortage(kind: ServiceKind, lost: bool) -> None:
    # More instances than slots hold idle credit. The next request gets a slot from the holder with
    # the oldest demand, without contention for the others unless the recall is lost.
    world = LoadWorld(instances=9, servers=1, slots=4, policy=PlacementPolicy.CREDITS, kind=kind)
    world.advance(0.3)
    dispatcher = agreed_dispatcher(world)
    # The dispatcher is last. Prevents a recall from itself, which could not be lost.
    for name in sorted(world.states, key=lambda each: each == dispatcher):
        world.arrive("fitting", instance=index_of(world, name))
        world.advance(0.6)
        if world.running:
            world.end(world.oldest())
    before = world.messages
    if lost:
        holdings = world.states[dispatcher].credits.granted_by_server[S0].holdings
        idle_holders = [name for name, each in holdings.items() if each.total()]
        oldest = min(idle_holders, key=lambda name: holdings[name].received_at)
        world.is_message_lost = lambda sender, receiver: receiver == oldest
    asker = next(n for n in world.states if not usable_credit(world, world.states[n], S0))
    world.arrive("fitting", instance=index_of(world, asker), name="next")
    assert ("next" in world.running_ids()) is not lost
    world.advance(0.4)
    assert "next" in world.running_ids()
    contended = any(each.credits.held_by_server[S0].is_contended for each in world.states.values())
    assert contended is lost
    if not lost:
        assert world.messages - before <= 6


def world_with_preferred_server(*, slots: int) -> LoadWorld:
    """Return a world of two servers, one of which is the first choice of more instances."""
    world = make_world(instances=11, servers=2, slots=slots)
    names = [ServerName("s0"), ServerName("s1")]
    first = Counter(
        max(names, key=lambda server: rendezvous_weight(instance, server))
        for instance in world.states
    )
    assert sorted(first.values()) == [4, 7]
    return world


def call_from_each(world: LoadWorld, rounds: int) -> int:
    """Send one request from each instance in order; return the number of messages sent."""
    before = world.messages
    for _ in range(rounds):
        for number in range(len(world.states)):
            world.arrive("fitting", instance=number)
            for running in list(world.running.values()):
                world.end(running)
            world.advance(0.3)
    return world.messages - before


def test_instances_spread_over_servers_with_idle_slots() -> None:
    # Seven instances prefer a server with six slots while the other has free ones. Prevents them
    # from recalling each other's credit there with every request.
    world = world_with_preferred_server(slots=5)
    call_from_each(world, 2)
    # This takes 33 s, with one renewal and its answer per instance every 6 s at most.
    assert call_from_each(world, 10) <= 2 * 11 * 6
    assert world.accounts_by_class["fitting"].count(Outcome.COMPLETED) == 12 * 11


def test_instances_stay_when_all_servers_are_full() -> None:
    # Both servers have fewer slots than instances. Prevents instances from alternating between the
    # servers after each recall and causing contention at both.
    world = world_with_preferred_server(slots=2)
    call_from_each(world, 6)
    began = len(world.started)
    call_from_each(world, 2)
    for state in world.states.values():
        first, *_ = target_subset(state, MODEL).servers
        mine = [each for each in world.started[began:] if each.instance == state.me.name]
        assert {each.server for each in mine} == {first.entry.name}


@pytest.mark.parametrize("seed", range(6))
def test_answers_to_recalls_do_not_multiply(seed: int) -> None:
    # Answers to recalls must not each cause a settlement with more recalls. Prevents an endless
    # exchange of messages while a shortage has not yet been recognised.
    world = make_world(instances=9, slots=8)
    drawn = Random(seed)
    before = 0

    def is_endless(sender: InstanceName, receiver: InstanceName) -> bool:
        return world.messages - before > 1000

    # Stops an endless exchange of messages.
    world.is_message_lost = is_endless
    for _ in range(60):
        before = world.messages
        world.arrive("fitting", instance=drawn.randrange(9))
        world.advance(drawn.choice([0.0, 0.1, 0.1, 0.2]))
        for running in list(world.running.values()):
            if drawn.random() < 0.3 and running.attempt_id in world.running:
                world.end(running)
        assert world.messages - before <= 200


def test_a_shortage_ends_while_demands_go_on() -> None:
    # The demand of two instances first exceeds the slots and then fits. Prevents later demands
    # from prolonging the contention for as long as there is traffic.
    world = make_world(instances=3, slots=4)
    dispatcher = agreed_dispatcher(world)
    one, two = (name for name in world.states if name != dispatcher)
    ledger = world.states[dispatcher].credits.granted_by_server.setdefault(S0, CreditLedger())
    world.delay_messages()
    for seq in range(1, 16):
        for sender, wanted in ((one, 5), (two, 3)):
            tier = TierDemand(1, 0, wanted) if seq == 1 else TierDemand(1, 1, seq % 2)
            grant_number = ledger.holdings[sender].number if seq > 1 else 0
            demand = CreditDemand(S0, seq, grant_number, 4, [tier])
            world.event(dispatcher, PeerReceived(sender, demand))
        world.advance(0.3)
        if seq == 1:
            assert world.now < ledger.contended_until
    assert world.now > ledger.contended_until


def test_upper_tier_displaces_lower_tier_of_another_instance() -> None:
    # Quotes of one instance use every slot. For a counter request at another instance exactly one
    # quote is displaced, and it resumes later.
    world = make_world(slots=2)
    for _ in range(6):
        world.arrive("quote", instance=0)
        world.advance(0.1)
    running = world.oldest("quote")
    for each in world.running.values():
        world.progress(each, 5)
    assert len(world.running) == 3
    world.arrive("counter", instance=1, name="c")
    world.advance(0.5)
    assert "c" in world.running_ids()
    displaced = [name for name, reason in world.cancelled if reason is CancelReason.DISPLACED]
    assert len(displaced) == 1
    assert len(world.running) == 3
    for _ in range(80):
        world.end(world.oldest()) if world.running else None
        world.advance(0.1)
    assert world.accounts_by_class["quote"].count(Outcome.COMPLETED) == 6
    resumed = [each for each in world.started if each.request_id == displaced[0]]
    assert [each.resume_from for each in resumed] == [0, 5]
    assert running.attempt_id not in world.running


def test_one_request_displaces_one_attempt() -> None:
    # A counter request is reported to the dispatchers of both full servers. Prevents each of them
    # from displacing a quote for it.
    world = make_world(instances=4, servers=2, slots=2)
    for _ in range(4):
        for number in range(3):
            world.arrive("quote", instance=number)
        world.advance(0.1)
    assert len(world.running) == 6
    world.arrive("counter", instance=3, name="c")
    world.advance(1.0)
    assert "c" in world.running_ids()
    assert len(world.cancelled) == 1


def test_no_displacement_while_a_grant_is_on_its_way() -> None:
    # A counter request waits for a grant that is on its way. Prevents the displacement of a quote
    # in the meantime, which would waste its prefill.
    world = make_world(instances=2, servers=1, slots=3, options=Options(credit_spare=0))
    dispatcher = agreed_dispatcher(world)
    other = next(number for number, name in enumerate(world.states) if name != dispatcher)
    world.arrive("quote", instance=other)
    world.delay_messages()
    world.arrive("counter", instance=other, name="c")
    assert not world.cancelled
    for receiver, event in world.take_delayed_messages():
        world.event(receiver, event)
    assert "c" in world.running_ids()
    assert not world.cancelled


def test_running_work_of_the_same_tier_is_not_displaced() -> None:
    """Pass the slots of a tier on to other instances as attempts end."""
    world = make_world(slots=2)
    for _ in range(9):
        world.arrive("fitting", instance=0)
        world.advance(0.1)
    for number in (1, 2):
        world.arrive("fitting", instance=number, name=f"late{number}")
    world.advance(0.3)
    assert not world.cancelled
    served = []
    for _ in range(6):
        world.end(world.oldest())
        world.advance(0.2)
        served += [each for each in world.running_ids() if each.startswith("late")]
    assert {"late1", "late2"} <= set(served)


def test_one_slot_is_shared_among_instances() -> None:
    # Three instances always have waiting quotes for the only slot. Prevents the holder from keeping
    # the slot for as long as it has requests.
    world = make_world(slots=1, options=Options(slack_slots=0, credit_turn_s=2.0))
    for _ in range(300):
        for number in range(3):
            if len(world.waiting(number)) < 3:
                world.arrive("quote", instance=number, deadline_s=1e6)
        if world.running and world.now % 1.0 < 0.1:
            world.end(world.oldest())
        world.advance(0.1)
    served = Counter(each.instance for each in world.started)
    assert len(served) == 3
    assert min(served.values()) >= 4


def test_grant_waits_for_confirmation_of_recall() -> None:
    # One instance holds all slots and another runs a request by local counts. Prevents a grant to
    # the second before the first has confirmed the recall, as the grants would exceed the capacity.
    world = make_world(instances=3, slots=3)
    dispatcher = agreed_dispatcher(world)
    one, two = (name for name in world.states if name != dispatcher)
    grants: dict[InstanceName, int] = {}
    world.delay_messages()
    for sender, tier in ((one, TierDemand(2, 0, 4)), (two, TierDemand(0, 1, 0))):
        world.event(dispatcher, PeerReceived(sender, CreditDemand(S0, 1, 0, 3, [tier])))
        world.now += 0.01
    world.event(dispatcher, Tick())
    for receiver, event in world.take_delayed_messages():
        assert isinstance(event, PeerReceived)
        if isinstance(event.message, CreditGrant):
            total = sum(each.slots for each in event.message.tiers)
            grants[receiver] = max(total, grants.get(receiver, 0))
    assert sum(grants.values()) <= 4


def test_control_traffic_is_bounded_in_a_shortage() -> None:
    # With every server short of slots, the demands stay within the budget and all classes are
    # served.
    options = Options(credit_demands_s=2.0, credit_demands_burst=6.0)
    world = make_world(instances=4, servers=6, slots=1, options=options)
    before = sum(state.credits.demands_sent for state in world.states.values())
    for step in range(300):
        for number in range(4):
            world.arrive(("counter", "fitting", "quote")[step % 3], instance=number)
        for _ in range(3):
            if world.running:
                world.end(world.oldest())
        world.advance(0.1)
    sent = sum(state.credits.demands_sent for state in world.states.values()) - before
    # Answers that dispatchers wait for are exempt from the budget.
    assert sent / 4 <= 1.5 * (options.credit_demands_burst + 30.0 * options.credit_demands_s)
    assert all(told.count(Outcome.COMPLETED) for told in world.accounts_by_class.values())


def test_displacement_is_requested_while_the_budget_is_low() -> None:
    # A long shortage has used up most of the budget. Prevents a demand that displaces another
    # instance's quote from being delayed until the budget has recovered.
    options = Options(credit_demands_s=0.0, slack_slots=0)
    world = make_world(instances=2, slots=1, options=options)
    world.arrive("quote", instance=1, name="q")
    world.advance(0.1)
    state = world.first
    world.arrive("counter", instance=0, name="c")
    state.credits.demands_left = 0.3 * options.credit_demands_burst
    world.advance(0.3)
    assert world.running_ids() == ["c"]


def test_plain_service_reserves_slots_for_the_most_urgent() -> None:
    """Reserve slots of a plain service for the most urgent tier; its calls are not displaced."""
    world = LoadWorld(
        instances=3, servers=1, slots=4, policy=PlacementPolicy.CREDITS, kind=ServiceKind.PLAIN
    )
    world.advance(0.3)
    for number in range(15):
        world.arrive("quote", instance=number % 3)
        world.advance(0.1)
    assert len(world.running) == 4
    world.arrive("counter", instance=1, name="c")
    world.advance(0.2)
    assert "c" in world.running_ids()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "end", "pass", "wait"]),
        st.sampled_from(["counter", "fitting", "quote"]),
        st.integers(0, 3),
    ),
    min_size=5,
    max_size=60,
)


@settings(max_examples=120, deadline=None)
@given(STEPS, st.floats(0.0, 0.6), st.integers(0, 2**16))
def test_grants_never_exceed_capacity(
    steps: list[tuple[str, str, int]], loss: float, seed: int
) -> None:
    # With any share of the messages lost, neither the usable grants of all instances nor the
    # dispatcher's ledger exceed the slots and the slack.
    world = make_world(instances=4, slots=3)
    rng = Random(seed)
    world.is_message_lost = lambda sender, receiver: rng.random() < loss
    room = world.slots + world.options.slack_slots
    dispatcher = agreed_dispatcher(world)
    for step, class_name, number in steps:
        if step == "arrive":
            world.arrive(class_name, instance=number)
        elif step == "end" and world.running:
            world.end(world.oldest())
        else:
            world.advance(0.1 if step == "pass" else 2.0)
        usable = sum(usable_credit(world, state, S0) for state in world.states.values())
        assert usable <= room
        ledger = world.states[dispatcher].credits.granted_by_server.get(S0)
        if ledger is not None:
            assert sum(each.total() for each in ledger.holdings.values()) <= room


# --- failures --------------------------------------------------------------------------------


def test_dispatcher_that_is_cut_off() -> None:
    # If the dispatcher does not answer, an instance uses local counts within half a second, and
    # returns to credit once the dispatcher is reachable.
    world = make_world(slots=8)
    dispatcher = agreed_dispatcher(world)
    other = next(number for number, name in enumerate(world.states) if name != dispatcher)
    world.cut.add(dispatcher)
    world.arrive("counter", instance=other, name="c")
    world.arrive("quote", instance=other, name="q")
    assert not world.running
    world.advance(0.5)
    assert world.running_ids() == ["c"]
    world.cut.discard(dispatcher)
    world.advance(2.0)
    assert world.running_ids() == ["c", "q"]
    assert (
        world.states[list(world.states)[other]].credits.held_by_server[S0].dispatcher == dispatcher
    )


def test_new_dispatcher_takes_over() -> None:
    """Continue by local counts after the dispatcher died, then by credit of the next dispatcher."""
    world = make_world(slots=4)
    dispatcher = agreed_dispatcher(world)
    for number in range(3):
        world.arrive("fitting", instance=number)
    world.advance(0.3)
    world.cut.add(dispatcher)
    world.running = {k: v for k, v in world.running.items() if v.instance != dispatcher}
    world.advance(world.options.suspect_s + 1.0)
    survivors = [name for name in world.states if name != dispatcher]
    for name in survivors:
        world.arrive("counter", instance=index_of(world, name))
    world.advance(1.0)
    new_dispatchers = {
        dispatcher_selection.dispatcher_of(
            world.states[name], world.now, world.states[name].servers.by_name[S0]
        )
        for name in survivors
    }
    assert len(new_dispatchers) == 1
    assert new_dispatchers != {dispatcher}
    counters = [each for each in world.running.values() if each.service_class == "counter"]
    assert len(counters) == 2
    assert all(
        world.states[name].credits.held_by_server[S0].dispatcher in new_dispatchers
        for name in survivors
    )


def test_dispatcher_that_restarts_under_its_name() -> None:
    """Accept the grants of a restarted dispatcher whose grant numbers start again."""
    world = make_world(slots=2)
    dispatcher = agreed_dispatcher(world)
    other = next(name for name in world.states if name != dispatcher)
    for _ in range(4):
        world.arrive("quote", instance=index_of(world, other))
        world.advance(0.2)
    world.restart(dispatcher)
    world.advance(4.0)
    world.arrive("counter", instance=index_of(world, other), name="c")
    world.advance(0.5)
    assert "c" in world.running_ids()
    assert usable_credit(world, world.states[other], S0) >= 1
    assert world.now >= world.states[other].credits.held_by_server[S0].fallback_until
    assert sum(usable_credit(world, state, S0) for state in world.states.values()) <= 3


def test_two_dispatchers_cause_only_overload() -> None:
    # While a data centre is partitioned, the server has two dispatchers and receives up to twice
    # its slots. Every caller is still answered exactly once.
    world = make_world(instances=4, slots=2)
    names = list(world.states)
    halves = {name: number // 2 for number, name in enumerate(names)}
    world.is_message_lost = lambda sender, receiver: halves[sender] != halves[receiver]
    for name, state in world.states.items():
        for other, member in list(state.members.by_name.items()):
            if halves[name] != halves[other]:
                del state.members.by_name[other]
                assert member.data_centre == DATA_CENTRE
    world.can_see = lambda one, other: halves[one] == halves[other]
    world.advance(0.5)
    dispatchers = {
        dispatcher_selection.dispatcher_of(state, world.now, state.servers.by_name[S0])
        for state in world.states.values()
    }
    assert len(dispatchers) == 2
    for number in range(24):
        world.arrive("fitting", instance=number % 4)
    world.advance(1.0)
    assert len(world.running) <= 2 * (world.slots + world.options.slack_slots)
    for _ in range(200):
        if world.running:
            world.end(world.oldest())
        world.advance(0.1)
    assert world.accounts_by_class["fitting"].count(Outcome.COMPLETED) == 24
    assert len(world.started) == 24 + len(world.cancelled)


def test_delayed_grant_has_expired() -> None:
    # A grant is applied after its slots were granted to another instance. Prevents its validity
    # from counting from the receipt, so that both would use the slots.
    world = make_world(slots=2)
    dispatcher = agreed_dispatcher(world)
    one, two = (name for name in world.states if name != dispatcher)
    world.delay_messages()
    world.arrive("quote", instance=index_of(world, one), deadline_s=1e6)
    demands = world.take_delayed_messages()
    world.delay_messages()
    for receiver, event in demands:
        world.event(receiver, event)
    grants = world.take_delayed_messages()
    assert [receiver for receiver, _ in grants] == [one]
    world.cut.add(one)
    world.advance(world.options.credit_ttl_s + 1.0)
    for _ in range(6):
        world.arrive("fitting", instance=index_of(world, two))
        world.advance(0.2)
    world.cut.discard(one)
    # Delivered before any newer message.
    world.delay_messages()
    for receiver, event in grants:
        world.event(receiver, event)
    assert usable_credit(world, world.states[one], S0) == 0
    usable = sum(usable_credit(world, state, S0) for state in world.states.values())
    assert usable <= world.slots + world.options.slack_slots


def test_grant_of_a_former_dispatcher_is_ignored() -> None:
    """Ignore grants of instances other than the one that received the last demand."""
    world = make_world(slots=2)
    dispatcher = agreed_dispatcher(world)
    one, two = (name for name in world.states if name != dispatcher)
    world.arrive("quote", instance=index_of(world, one))
    slots = dict(world.states[one].credits.held_by_server[S0].slots)
    stale = CreditGrant(S0, 1, 99, 9.0, is_contended=False, attempts_to_keep=None, displace_above=0)
    world.event(one, PeerReceived(two, stale))
    assert world.states[one].credits.held_by_server[S0].slots == slots


def test_stale_demand_is_ignored() -> None:
    """Ignore a demand that is older than the last one received."""
    world = make_world(slots=2)
    dispatcher = agreed_dispatcher(world)
    other = next(name for name in world.states if name != dispatcher)
    for seq, running in ((3, 1), (2, 9)):
        demand = CreditDemand(S0, seq, 0, 2, [TierDemand(2, running, 0)])
        world.event(dispatcher, PeerReceived(other, demand))
    holding = world.states[dispatcher].credits.granted_by_server[S0].holdings[other]
    assert holding.seq == 3
    assert holding.running() == 1


def test_dispatcher_that_cannot_reach_the_server() -> None:
    # The dispatcher cannot reach the server but the others can. They use local counts, which
    # prevents the server from staying idle.
    world = make_world(slots=4)
    dispatcher = agreed_dispatcher(world)
    world.states[dispatcher].servers.by_name[S0].unreachable_until = world.now + 1e6
    other = next(name for name in world.states if name != dispatcher)
    world.report_s = None
    world.arrive("counter", instance=index_of(world, other), name="c")
    world.advance(0.6)
    assert world.running_ids() == ["c"]


# --- probes ----------------------------------------------------------------------------------


def test_only_the_dispatcher_probes() -> None:
    """Probe each server from one instance only, whichever instances send it requests."""
    world = make_world(instances=4, servers=5)
    for number in range(4):
        world.arrive("quote", instance=number)
    world.probes.clear()
    world.advance(2.0)
    by_server = {
        server: {name for name, each in world.probes if each == server}
        for server in world.config.servers
    }
    assert all(len(names) == 1 for names in by_server.values())
    assert all(by_server[server] == {agreed_dispatcher(world, server)} for server in by_server)


def test_load_comes_with_the_grants() -> None:
    """Receive a server's slots from its dispatcher."""
    world = make_world(instances=2, slots=4)
    dispatcher = agreed_dispatcher(world)
    other = next(name for name in world.states if name != dispatcher)
    world.report_s = None
    server = world.states[other].servers.by_name[S0]
    server.report = report_of(S0, 0, 0, 1)
    world.arrive("quote", instance=index_of(world, other))
    assert server.slots == 4


@pytest.mark.parametrize("cut", [True, False])
def test_holder_probes_where_no_dispatcher_answers(cut: bool) -> None:
    """Probe a used server if and only if its dispatcher is unresponsive."""
    world = make_world(instances=2, slots=4)
    dispatcher = agreed_dispatcher(world)
    other = next(name for name in world.states if name != dispatcher)
    world.arrive("quote", instance=index_of(world, other))
    world.advance(1.0)
    if cut:
        world.cut.add(dispatcher)
    world.probes.clear()
    # Shorter than the time until a new dispatcher is picked, which would probe in any case.
    for _ in range(15):
        world.arrive("quote", instance=index_of(world, other))
        world.advance(0.1)
    assert any(name == other for name, _ in world.probes) is cut
