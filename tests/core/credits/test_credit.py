"""Credits: what one dispatcher gives out, and what is done when messages are lost or it is gone."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import DATA_CENTRE, MODEL, LoadWorld, report_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Kind, Policy
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import CancelReason
from turmericweir_core.credits import credit_lead
from turmericweir_core.credits.credit_allocation import Capacity, Want, allocate
from turmericweir_core.membership.subset import rendezvous_weight, target_subset
from turmericweir_core.messages.events import PeerReceived, Tick
from turmericweir_core.messages.peer_messages import CreditDemand, CreditGrant, TierDemand
from turmericweir_core.state.credit_state import Ledger
from turmericweir_core.state.state import State

S0 = ServerName("s0")


def make_world(
    *, instances: int = 3, servers: int = 1, slots: int = 4, options: Options | None = None
) -> LoadWorld:
    """Make a world under credits whose instances have seen each other."""
    world = LoadWorld(
        instances=instances, servers=servers, slots=slots, policy=Policy.CREDITS, options=options
    )
    world.advance(0.3)
    return world


def leader(world: LoadWorld, server: ServerName = S0) -> InstanceName:
    """Name the dispatcher of a server, on which all instances agree."""
    found = {
        credit_lead.dispatcher_of(state, world.now, state.servers.by_name[server])
        for state in world.states.values()
    }
    assert len(found) == 1
    (name,) = found
    assert name is not None
    return name


def usable_credit(world: LoadWorld, state: State, server: ServerName) -> int:
    """Count the slots that an instance may use by the grant that it holds."""
    held = state.credits.held.get(server)
    if held is None or world.now >= held.valid_until:
        return 0
    return sum(held.slots.values())


def number_of(world: LoadWorld, name: InstanceName) -> int:
    """Give the place of an instance in its world."""
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
    """Never give more than there is, and nothing to a tier before the more urgent ones have all."""
    capacity = Capacity(slots, min(slots, lower), spare, most_urgent=0, lowest=3)
    names = [InstanceName(f"entry-{number}") for number in range(6)]
    listed = [
        Want(names[number], tier, running, waiting)
        for (number, tier), (running, waiting) in wants.items()
    ]
    shares = allocate(capacity, names, listed, sorted(assured))
    assert sum(share.total() for share in shares.values()) <= slots
    given_to = {
        tier: sum(share.slots.get(tier, 0) for share in shares.values()) for tier in range(4)
    }
    kept = {tier: sum(share.assured.get(tier, 0) for share in shares.values()) for tier in range(4)}
    wanted = {tier: sum(want.slots for want in listed if want.tier == tier) for tier in range(4)}
    # The assured slots are one for each tier that is owed one, whatever the upper tiers want.
    assert sum(kept.values()) <= len(assured)
    assert sum(given_to[tier] for tier in (1, 2, 3)) <= max(
        capacity.lower_slots, sum(kept.values())
    )
    if given_to[0] < wanted[0]:
        assert all(given_to[tier] <= kept[tier] for tier in (1, 2, 3))
    elif given_to[1] < wanted[1]:
        assert all(given_to[tier] <= kept[tier] for tier in (2, 3))


@settings(deadline=None)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=6), st.integers(0, 20))
def test_allocation_is_fair_within_a_tier(sizes: list[int], slots: int) -> None:
    """Give no instance of a tier two more than one that wants as much or more."""
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
    """Spend the credit held, with the spare slots granted in advance, without a message."""
    world = make_world(instances=2, slots=8)
    for round_number in range(100):
        if round_number == 2:
            # By then each instance holds credit, and its dispatcher knows that nothing waits.
            before = world.messages
        for number in range(2):
            world.arrive("counter", instance=number)
        world.now += 0.025
        for running in list(world.running.values()):
            world.end(running)
    assert world.messages == before
    assert world.told["counter"].count(Outcome.COMPLETED) == 200


def test_renewals_are_few() -> None:
    """Renew the credit that is in use, now and then, and let go of what is not."""
    world = make_world(instances=2, slots=8)
    world.arrive("quote", instance=0, deadline_s=1e6)
    world.arrive("quote", instance=1, deadline_s=1e6)
    before = world.messages
    for _ in range(300):
        for running in world.running.values():
            world.progress(running, 1)
        world.advance(0.1)
    # One instance is the dispatcher. Of the other come ten renewals in 30 s, each answered.
    assert world.messages - before <= 22
    for running in list(world.running.values()):
        world.end(running)
    world.advance(world.options.credit_ttl_s * 2)
    before = world.messages
    world.advance(30)
    assert world.messages == before
    assert all(not state.credits.held for state in world.states.values())
    assert all(not state.credits.given for state in world.states.values())


def test_a_request_that_fits_costs_one_demand_and_its_grant() -> None:
    # An instance without credit asks for a slot and gets it. That its request has begun, and soon
    # ended, is no news: were it told, each request would cost two more messages and their answers.
    world = make_world(instances=2, slots=8)
    lead = leader(world)
    other = next(number for number, name in enumerate(world.states) if name != lead)
    world.arrive("counter", instance=other)
    world.advance(0.3)
    world.end(world.oldest())
    world.advance(2.0)
    assert world.messages == 2
    # Asked for already, but in use again: the dispatcher has to hear of what waits now.
    for name in ("c1", "c2", "c3", "c4"):
        world.arrive("counter", instance=other, name=name)
    assert {"c1", "c2", "c3", "c4"} <= set(world.running_ids())


@pytest.mark.parametrize("kind", [Kind.MODEL, Kind.PLAIN])
@pytest.mark.parametrize("lost", [False, True])
def test_idle_credit_of_others_is_no_shortage(kind: Kind, lost: bool) -> None:
    # There are more instances than slots, and each sends a request now and then. All slots are held
    # idle, so that the next request has to wait until one has been called back. It gets that one
    # at once, from whoever has not been heard from for longest, and nobody else hears of it. Only
    # where that call-back is lost do the others have to report what they use.
    world = LoadWorld(instances=9, servers=1, slots=4, policy=Policy.CREDITS, kind=kind)
    world.advance(0.3)
    lead = leader(world)
    # The dispatcher last, so that it is not the one that is called back from: it would hear itself.
    for name in sorted(world.states, key=lambda each: each == lead):
        world.arrive("fitting", instance=number_of(world, name))
        world.advance(0.6)
        if world.running:
            world.end(world.oldest())
    before = world.messages
    if lost:
        heard = world.states[lead].credits.given[S0].holdings
        idle = [name for name, each in heard.items() if each.total()]
        oldest = min(idle, key=lambda name: heard[name].heard_at)
        world.lose = lambda sender, receiver: receiver == oldest
    asker = next(n for n in world.states if not usable_credit(world, world.states[n], S0))
    world.arrive("fitting", instance=number_of(world, asker), name="next")
    assert ("next" in world.running_ids()) is not lost
    world.advance(0.4)
    assert "next" in world.running_ids()
    contended = any(each.credits.held[S0].contended for each in world.states.values())
    assert contended is lost
    if not lost:
        assert world.messages - before <= 6


def crowded_world(*, slots: int) -> LoadWorld:
    """Make a world of two servers, of which one is the first choice of more instances."""
    world = make_world(instances=11, servers=2, slots=slots)
    names = [ServerName("s0"), ServerName("s1")]
    first = Counter(
        max(names, key=lambda server: rendezvous_weight(instance, server))
        for instance in world.states
    )
    assert sorted(first.values()) == [4, 7]
    return world


def call_in_turn(world: LoadWorld, rounds: int) -> int:
    """Let each instance send one request after the other; give the messages that it took."""
    before = world.messages
    for _ in range(rounds):
        for number in range(len(world.states)):
            world.arrive("fitting", instance=number)
            for running in list(world.running.values()):
                world.end(running)
            world.advance(0.3)
    return world.messages - before


def test_instances_spread_over_servers_with_idle_slots() -> None:
    # Seven instances ask one server first, which has six slots; the other has slots to spare. None
    # of them waits for long, but if each asks where it was called back from, each request there has
    # a slot called back from the next one to ask, at six messages. They must find the other server.
    world = crowded_world(slots=5)
    call_in_turn(world, 2)
    # 33 s: each renews its credit every 6 s at the most, with one message and its answer.
    assert call_in_turn(world, 10) <= 2 * 11 * 6
    assert world.told["fitting"].count(Outcome.COMPLETED) == 12 * 11


def test_instances_stay_where_all_servers_are_crowded() -> None:
    # There are more instances than slots at both servers. One that goes to the other server after
    # each call-back would crowd now this one and now that one, whose holders then have to report
    # every change. Once it has lost its credit at both it asks in the order of its subset.
    world = crowded_world(slots=2)
    call_in_turn(world, 6)
    began = len(world.started)
    call_in_turn(world, 2)
    for state in world.states.values():
        first, *_ = target_subset(state, MODEL).servers
        mine = [each for each in world.started[began:] if each.instance == state.me.name]
        assert {each.server for each in mine} == {first.entry.name}


@pytest.mark.parametrize("seed", range(6))
def test_answers_to_call_backs_do_not_multiply(seed: int) -> None:
    # Requests come to instances drawn at random, before one server with fewer slots than there are
    # instances. Somebody is short while nothing counts as a shortage yet, and several are called
    # back from. Were the slots divided anew at each of their answers, others would be called back
    # from each time, whose answers do the same: the dispatcher does nothing else any more.
    world = make_world(instances=9, slots=8)
    drawn = Random(seed)
    before = 0

    def is_endless(sender: InstanceName, receiver: InstanceName) -> bool:
        return world.messages - before > 1000

    # Ends what would not end by itself.
    world.lose = is_endless
    for _ in range(60):
        before = world.messages
        world.arrive("fitting", instance=drawn.randrange(9))
        world.advance(drawn.choice([0.0, 0.1, 0.1, 0.2]))
        for running in list(world.running.values()):
            if drawn.random() < 0.3 and running.attempt_id in world.running:
                world.end(running)
        assert world.messages - before <= 200


def test_a_shortage_ends_while_demands_go_on() -> None:
    # Two instances want more slots than there are. Then their callers leave, and what they go on to
    # say fits. Were each word of it taken for a shortage that goes on, both would have to report
    # every change for as long as there is traffic.
    world = make_world(instances=3, slots=4)
    lead = leader(world)
    one, two = (name for name in world.states if name != lead)
    ledger = world.states[lead].credits.given.setdefault(S0, Ledger())
    world.keep_late()
    for seq in range(1, 16):
        for sender, wanted in ((one, 5), (two, 3)):
            tier = TierDemand(1, 0, wanted) if seq == 1 else TierDemand(1, 1, seq % 2)
            known = ledger.holdings[sender].number if seq > 1 else 0
            demand = CreditDemand(S0, seq, known, 4, [tier])
            world.event(lead, PeerReceived(sender, demand))
        world.advance(0.3)
        if seq == 1:
            assert world.now < ledger.contended_until
    assert world.now > ledger.contended_until


def test_upper_tier_gets_the_slot_of_a_lower_one_elsewhere() -> None:
    # Quotes of one instance hold every slot. A counter request comes to another instance: the
    # dispatcher calls one slot back, one quote makes way, and the counter request runs within its
    # target. The quote's caller notices a pause, and gets the rest of the answer afterwards.
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
    assert world.told["quote"].count(Outcome.COMPLETED) == 6
    resumed = [each for each in world.started if each.request_id == displaced[0]]
    assert [each.resume_from for each in resumed] == [0, 5]
    assert running.attempt_id not in world.running


def test_one_wait_stops_one_answer() -> None:
    # Quotes of other instances fill both servers. A counter request is named to the dispatchers of
    # both, since either may have a slot first; but only one quote is stopped for it.
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


def test_nothing_is_stopped_while_a_slot_is_a_message_away() -> None:
    # An instance has its quote on one server and no credit on the other, which is idle. A counter
    # request comes; the dispatcher's answer takes a moment, and then the request has its slot.
    # Were the quote stopped at once, its prefill would be lost for nothing.
    world = make_world(instances=2, servers=1, slots=3, options=Options(credit_spare=0))
    lead = leader(world)
    other = next(number for number, name in enumerate(world.states) if name != lead)
    world.arrive("quote", instance=other)
    world.keep_late()
    world.arrive("counter", instance=other, name="c")
    assert not world.cancelled
    for receiver, event in world.take_late():
        world.event(receiver, event)
    assert "c" in world.running_ids()
    assert not world.cancelled


def test_running_work_of_the_same_tier_is_not_displaced() -> None:
    """Let the slots of a tier go round among instances as answers end."""
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


def test_one_slot_goes_round_among_instances() -> None:
    # Three instances have quotes waiting all the time, for the only slot there is. Were the one
    # that has it to keep it as long as it has work, the callers of the others would wait for ever.
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


def test_grant_waits_for_the_call_back_to_be_seen() -> None:
    # One instance has all slots; another one runs a request without a grant, by its own counts.
    # Some slots are called back from the first, which has not confirmed that it knows. A grant to
    # the other one now, though only for what it runs already, would add up to more than there is.
    world = make_world(instances=3, slots=3)
    lead = leader(world)
    one, two = (name for name in world.states if name != lead)
    grants: dict[InstanceName, int] = {}
    world.keep_late()
    for sender, tier in ((one, TierDemand(2, 0, 4)), (two, TierDemand(0, 1, 0))):
        world.event(lead, PeerReceived(sender, CreditDemand(S0, 1, 0, 3, [tier])))
        world.now += 0.01
    world.event(lead, Tick())
    for receiver, event in world.take_late():
        assert isinstance(event, PeerReceived)
        if isinstance(event.message, CreditGrant):
            total = sum(each.slots for each in event.message.tiers)
            grants[receiver] = max(total, grants.get(receiver, 0))
    assert sum(grants.values()) <= 4


def test_control_traffic_is_bounded_in_a_shortage() -> None:
    # Every server is short of slots, and requests of all classes come and go all the time. What the
    # instances say to each other stays within the budget, and every class is served.
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
    # What dispatchers wait for comes on top; they ask for it as they see fit.
    assert sent / 4 <= 1.5 * (options.credit_demands_burst + 30.0 * options.credit_demands_s)
    assert all(told.count(Outcome.COMPLETED) for told in world.told.values())


def test_an_upper_request_presses_while_the_budget_is_short() -> None:
    # A shortage has used up what an instance may say of it. A counter request, whose class waited
    # there before, has waited out its patience while another instance's quotes run: that they have
    # to stop for it must be told at once, and not when the budget has recovered.
    options = Options(credit_demands_s=0.0, slack_slots=0)
    world = make_world(instances=2, slots=1, options=options)
    world.arrive("quote", instance=1, name="q")
    world.advance(0.1)
    state = world.first
    world.arrive("counter", instance=0, name="c")
    state.credits.demands_left = 0.3 * options.credit_demands_burst
    world.advance(0.3)
    assert world.running_ids() == ["c"]


def test_plain_calls_leave_slots_for_the_most_urgent() -> None:
    """Keep some slots of a plain service free of lower tiers, since nothing there is displaced."""
    world = LoadWorld(instances=3, servers=1, slots=4, policy=Policy.CREDITS, kind=Kind.PLAIN)
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
def test_grants_never_add_up_to_more_than_there_is(
    steps: list[tuple[str, str, int]], loss: float, seed: int
) -> None:
    # Any part of the messages between the instances is lost. Whatever is asked for and called
    # back: what the instances may use at one moment, by the grants of the one dispatcher, is never
    # more than the slots and the slack, and neither are the dispatcher's own books.
    world = make_world(instances=4, slots=3)
    rng = Random(seed)
    world.lose = lambda sender, receiver: rng.random() < loss
    room = world.slots + world.options.slack_slots
    lead = leader(world)
    for step, class_name, number in steps:
        if step == "arrive":
            world.arrive(class_name, instance=number)
        elif step == "end" and world.running:
            world.end(world.oldest())
        else:
            world.advance(0.1 if step == "pass" else 2.0)
        usable = sum(usable_credit(world, state, S0) for state in world.states.values())
        assert usable <= room
        ledger = world.states[lead].credits.given.get(S0)
        if ledger is not None:
            assert sum(each.total() for each in ledger.holdings.values()) <= room


# --- failures --------------------------------------------------------------------------------


def test_dispatcher_that_is_cut_off() -> None:
    # The callers of an instance wait for slots, and the dispatcher does not answer. Within half a
    # second the instance goes by its own counts, with one request at first, and its callers are
    # served. Once the dispatcher is heard again, credit comes from there.
    world = make_world(slots=8)
    lead = leader(world)
    other = next(number for number, name in enumerate(world.states) if name != lead)
    world.cut.add(lead)
    world.arrive("counter", instance=other, name="c")
    world.arrive("quote", instance=other, name="q")
    assert not world.running
    world.advance(0.5)
    assert world.running_ids() == ["c"]
    world.cut.discard(lead)
    world.advance(2.0)
    assert world.running_ids() == ["c", "q"]
    assert world.states[list(world.states)[other]].credits.held[S0].dispatcher == lead


def test_new_dispatcher_takes_over() -> None:
    """Serve on after the dispatcher died, first by counts and then by another one's credit."""
    world = make_world(slots=4)
    lead = leader(world)
    for number in range(3):
        world.arrive("fitting", instance=number)
    world.advance(0.3)
    world.cut.add(lead)
    world.running = {k: v for k, v in world.running.items() if v.instance != lead}
    world.advance(world.options.suspect_s + 1.0)
    survivors = [name for name in world.states if name != lead]
    for name in survivors:
        world.arrive("counter", instance=number_of(world, name))
    world.advance(1.0)
    new = {
        credit_lead.dispatcher_of(
            world.states[name], world.now, world.states[name].servers.by_name[S0]
        )
        for name in survivors
    }
    assert len(new) == 1
    assert new != {lead}
    counters = [each for each in world.running.values() if each.service_class == "counter"]
    assert len(counters) == 2
    assert all(world.states[name].credits.held[S0].dispatcher in new for name in survivors)


def test_dispatcher_that_restarts_under_its_name() -> None:
    """Take the grants of a dispatcher that begins to count its grants anew."""
    world = make_world(slots=2)
    lead = leader(world)
    other = next(name for name in world.states if name != lead)
    for _ in range(4):
        world.arrive("quote", instance=number_of(world, other))
        world.advance(0.2)
    world.restart(lead)
    world.advance(4.0)
    world.arrive("counter", instance=number_of(world, other), name="c")
    world.advance(0.5)
    assert "c" in world.running_ids()
    assert usable_credit(world, world.states[other], S0) >= 1
    assert world.now >= world.states[other].credits.held[S0].fallback_until
    assert sum(usable_credit(world, state, S0) for state in world.states.values()) <= 3


def test_two_dispatchers_cost_overload_and_nothing_else() -> None:
    # Two halves of a data centre do not hear each other, so each has a dispatcher for the server
    # and it is given up to twice its slots. Every caller is answered all the same, once.
    world = make_world(instances=4, slots=2)
    names = list(world.states)
    halves = {name: number // 2 for number, name in enumerate(names)}
    world.lose = lambda sender, receiver: halves[sender] != halves[receiver]
    for name, state in world.states.items():
        for other, member in list(state.members.by_name.items()):
            if halves[name] != halves[other]:
                del state.members.by_name[other]
                assert member.data_centre == DATA_CENTRE
    world.see = lambda one, other: halves[one] == halves[other]
    world.advance(0.5)
    leads = {
        credit_lead.dispatcher_of(state, world.now, state.servers.by_name[S0])
        for state in world.states.values()
    }
    assert len(leads) == 2
    for number in range(24):
        world.arrive("fitting", instance=number % 4)
    world.advance(1.0)
    assert len(world.running) <= 2 * (world.slots + world.options.slack_slots)
    for _ in range(200):
        if world.running:
            world.end(world.oldest())
        world.advance(0.1)
    assert world.told["fitting"].count(Outcome.COMPLETED) == 24
    assert len(world.started) == 24 + len(world.cancelled)


def test_grant_that_comes_late_is_worth_less() -> None:
    # An instance is paused before it takes a grant. Meanwhile the dispatcher lets the grant lapse
    # and gives the slots to another. Were it counted from when it is taken, both would use them.
    world = make_world(slots=2)
    lead = leader(world)
    one, two = (name for name in world.states if name != lead)
    world.keep_late()
    world.arrive("quote", instance=number_of(world, one), deadline_s=1e6)
    demands = world.take_late()
    world.keep_late()
    for receiver, event in demands:
        world.event(receiver, event)
    grants = world.take_late()
    assert [receiver for receiver, _ in grants] == [one]
    world.cut.add(one)
    world.advance(world.options.credit_ttl_s + 1.0)
    for _ in range(6):
        world.arrive("fitting", instance=number_of(world, two))
        world.advance(0.2)
    world.cut.discard(one)
    # Before it has heard anything newer.
    world.keep_late()
    for receiver, event in grants:
        world.event(receiver, event)
    assert usable_credit(world, world.states[one], S0) == 0
    usable = sum(usable_credit(world, state, S0) for state in world.states.values())
    assert usable <= world.slots + world.options.slack_slots


def test_grant_of_a_former_dispatcher_is_not_taken() -> None:
    """Ignore grants of anyone but the instance that was asked last."""
    world = make_world(slots=2)
    lead = leader(world)
    one, two = (name for name in world.states if name != lead)
    world.arrive("quote", instance=number_of(world, one))
    held = dict(world.states[one].credits.held[S0].slots)
    stale = CreditGrant(S0, 1, 99, 9.0, contended=False, keep=None, displace_above=0)
    world.event(one, PeerReceived(two, stale))
    assert world.states[one].credits.held[S0].slots == held


def test_demand_that_comes_late_changes_nothing() -> None:
    """Ignore a demand that is older than the newest one."""
    world = make_world(slots=2)
    lead = leader(world)
    other = next(name for name in world.states if name != lead)
    for seq, running in ((3, 1), (2, 9)):
        demand = CreditDemand(S0, seq, 0, 2, [TierDemand(2, running, 0)])
        world.event(lead, PeerReceived(other, demand))
    holding = world.states[lead].credits.given[S0].holdings[other]
    assert holding.seq == 3
    assert holding.running() == 1


def test_dispatcher_that_cannot_reach_the_server() -> None:
    # The path between the dispatcher and the server is cut, the others reach it. They go by their
    # own counts, rather than that the server stands idle.
    world = make_world(slots=4)
    lead = leader(world)
    world.states[lead].servers.by_name[S0].unreachable_until = world.now + 1e6
    other = next(name for name in world.states if name != lead)
    world.report_s = None
    world.arrive("counter", instance=number_of(world, other), name="c")
    world.advance(0.6)
    assert world.running_ids() == ["c"]


# --- probes ----------------------------------------------------------------------------------


def test_only_the_dispatcher_probes() -> None:
    """Ask each server for its load from one instance, whoever sends it requests."""
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
    assert all(by_server[server] == {leader(world, server)} for server in by_server)


def test_load_comes_with_the_grants() -> None:
    """Learn of a server's slots from its dispatcher."""
    world = make_world(instances=2, slots=4)
    lead = leader(world)
    other = next(name for name in world.states if name != lead)
    world.report_s = None
    server = world.states[other].servers.by_name[S0]
    server.report = report_of(S0, 0, 0, 1)
    world.arrive("quote", instance=number_of(world, other))
    assert server.slots == 4


@pytest.mark.parametrize("cut", [True, False])
def test_probe_of_ones_own_where_no_dispatcher_answers(cut: bool) -> None:
    """Probe a server that is used while its dispatcher is silent, and only then."""
    world = make_world(instances=2, slots=4)
    lead = leader(world)
    other = next(name for name in world.states if name != lead)
    world.arrive("quote", instance=number_of(world, other))
    world.advance(1.0)
    if cut:
        world.cut.add(lead)
    world.probes.clear()
    # Shorter than it takes until another dispatcher is picked, which would probe in any case.
    for _ in range(15):
        world.arrive("quote", instance=number_of(world, other))
        world.advance(0.1)
    assert any(name == other for name, _ in world.probes) is cut
