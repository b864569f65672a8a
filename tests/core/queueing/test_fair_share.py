"""Test what customers of one class get when one of them asks for far more than its share."""

from __future__ import annotations

from math import ceil
from typing import Final

import msgspec
import pytest
from msgspec.structs import replace

from tests.core.customer_load import (
    HELD_S,
    LARGE,
    SLOTS,
    SMALL,
    Call,
    CustomerLoad,
    Sender,
    first_event_s,
    served_share,
)
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Customer

# What the customers need: the small ones as without the large one, and the slots in use.
SERVED_MIN: Final = 0.95
FIRST_EVENT_FACTOR: Final = 1.3
SLOTS_USED_MIN: Final = 0.85
SMALL_RATE_S: Final = 0.6
LARGE_RATE_S: Final = 19.0
TARGET_S: Final = 0.6
WARM_UP_S: Final = 5.0
PLAY_S: Final = 20.0


def new_load(
    instances: int, *, large_at: tuple[str, ...] = (), large: bool = True, retries: int = 0
) -> CustomerLoad:
    """Return a load of nine small customers and a large one."""
    load = CustomerLoad(instances=instances)
    names = tuple(load.worlds)
    load.senders = [Sender(customer, SMALL_RATE_S, names) for customer in SMALL]
    if large:
        load.senders.append(Sender(LARGE, LARGE_RATE_S, large_at or names, retries))
    return load


def small_calls(load: CustomerLoad, seconds: float = PLAY_S) -> list[Call]:
    """Play for a time; return the small customers' requests of it, all with an end."""
    since = load.now
    load.play(seconds)
    until = load.now
    load.play(HELD_S + TARGET_S)
    return load.calls_of(SMALL, since, until)


def in_time_share(calls: list[Call]) -> float:
    """Return the share of requests whose answers began within their target."""
    waits = [call.begun_at - call.sent_at for call in calls if call.begun_at is not None]
    return sum(wait <= TARGET_S for wait in waits) / len(calls)


LOADS = pytest.mark.parametrize(
    ("instances", "large_at"), [(1, ()), (3, ()), (3, ("a-2",))], ids=["one", "three", "by_one"]
)


@LOADS
def test_small_customers_are_served_beside_a_large_one(
    instances: int, large_at: tuple[str, ...]
) -> None:
    # Guards against a customer that takes the room of all others by sending more.
    alone = new_load(instances, large=False)
    alone.play(WARM_UP_S)
    calls_alone = small_calls(alone)
    load = new_load(instances, large_at=large_at)
    load.play(WARM_UP_S)
    used_before, since = load.slot_s, load.now
    calls = small_calls(load)
    assert served_share(calls) >= SERVED_MIN
    assert in_time_share(calls) >= SERVED_MIN * in_time_share(calls_alone)
    for share in (0.5, 0.95):
        # A round trip between instances more where they share the room.
        bound_s = FIRST_EVENT_FACTOR * first_event_s(calls_alone, share)
        assert first_event_s(calls, share) <= bound_s + load_report_s(instances)
    slots = SLOTS * len(load.engines)
    assert load.slot_s - used_before >= SLOTS_USED_MIN * slots * (load.now - since)


def load_report_s(instances: int) -> float:
    """Return how long an instance may not know of what waits at another one."""
    return 0.1 if instances > 1 else 0.0


def test_unused_room_goes_to_the_large_customer() -> None:
    # Guards against slots that stand idle for customers that send nothing.
    load = new_load(1)
    load.senders = load.senders[-1:]
    load.play(WARM_UP_S)
    used_before, since = load.slot_s, load.now
    load.play(5.0)
    assert load.slot_s - used_before >= 0.98 * SLOTS * len(load.engines) * (load.now - since)


def test_summing_instance_dies() -> None:
    # Guards against small customers that get nothing once no instance sums up the shares.
    load = new_load(4, large_at=("a-1",))
    load.play(WARM_UP_S)
    summing = load.worlds["a-1"].state.fair_shares.summed_by
    others = [name for name in load.worlds if name != "a-1"]
    load.kill(summing if summing in others else others[0])
    assert served_share(small_calls(load)) >= SERVED_MIN


def test_instance_of_the_large_customer_is_cut_off() -> None:
    # Guards against an instance that takes all room because it hears of nobody else.
    load = new_load(3, large_at=("a-2",))
    load.play(WARM_UP_S)
    load.cut.add("a-2")
    since = load.now
    load.play(10.0)
    calls = [each for each in load.calls_of(SMALL, since, load.now) if each.instance == "a-2"]
    load.play(HELD_S + TARGET_S)
    # Its own small customers are still served as before.
    assert served_share(calls) >= SERVED_MIN
    load.cut.clear()
    assert served_share(small_calls(load)) >= SERVED_MIN


def test_instance_that_starts_knows_the_shares_soon() -> None:
    # Guards against a large customer that starts anew at each instance that starts.
    load = new_load(2)
    load.play(WARM_UP_S)
    load.start("a-3")
    for sender in load.senders:
        sender.instances = tuple(load.worlds)
    load.play(1.0)
    assert served_share(small_calls(load)) >= SERVED_MIN


def test_large_customer_moves_to_other_instances() -> None:
    # Guards against a customer that gets a second share by changing the instance.
    load = new_load(3, large_at=("a-1",))
    load.play(WARM_UP_S)
    load.senders[-1].instances = ("a-2", "a-3")
    assert served_share(small_calls(load)) >= SERVED_MIN


def test_retries_count_to_the_customer_that_repeats() -> None:
    # Guards against a customer that takes the others' room by repeating what was refused.
    load = new_load(3, retries=3)
    load.play(WARM_UP_S)
    assert served_share(small_calls(load)) >= SERVED_MIN


def test_customer_that_was_idle_has_saved_up_nothing() -> None:
    # Guards against a customer that gets all room when it returns after it was idle.
    load = CustomerLoad()
    names = tuple(load.worlds)
    first, second = Sender(SMALL[0], LARGE_RATE_S, names), Sender(SMALL[1], LARGE_RATE_S, names)
    load.senders = [first]
    load.play(20.0)
    load.senders = [first, second]
    second.next_at = load.now
    since = load.now
    load.play(4.0)
    begun = [
        sum(
            call.begun_at is not None and call.begun_at >= since
            for call in load.calls.values()
            if call.customer == sender.customer
        )
        for sender in load.senders
    ]
    assert min(begun) >= 0.35 * sum(begun), begun


def test_weights_divide_the_room() -> None:
    # Guards against settings that give a customer more and change nothing.
    load = CustomerLoad()
    names = tuple(load.worlds)
    for world in load.worlds.values():
        customers = {SMALL[0]: Customer(SMALL[0], weight=3.0), SMALL[1]: Customer(SMALL[1])}
        world.state.config = replace(world.state.config, customers=customers)
    load.senders = [Sender(each, LARGE_RATE_S, names) for each in SMALL[:2]]
    load.play(WARM_UP_S)
    since = load.now
    load.play(12.0)
    begun = {
        customer: sum(
            call.begun_at is not None and call.begun_at >= since
            for call in load.calls.values()
            if call.customer == customer
        )
        for customer in SMALL[:2]
    }
    assert 2.0 <= begun[SMALL[0]] / begun[SMALL[1]] <= 4.0, begun


def test_newcomer_takes_the_place_of_the_customer_most_over_its_share() -> None:
    # Guards against a full queue of one customer that has all others refused.
    load = CustomerLoad()
    (world,) = load.worlds.values()
    world.state.options = replace(world.state.options, queue_limit=3)
    large = [load.send(LARGE, "a-1") for _ in range(SLOTS * len(load.engines) + 3)]
    assert all(each.outcome is None for each in large)
    small = load.send(SMALL[0], "a-1")
    assert small.outcome is None
    (dropped,) = [each for each in large if each.outcome is not None]
    assert dropped is large[-1]
    assert dropped.outcome is Outcome.NOT_RUN
    assert dropped.retry_after_s is not None
    load.play(HELD_S + TARGET_S)
    assert small.begun_at is not None
    waiting_large = large[-3:-1]
    assert all(small.begun_at <= (each.begun_at or load.now) for each in waiting_large)


def test_refused_customer_is_told_when_to_come_back() -> None:
    # Guards against a Retry-After that has a refused customer come back in vain.
    load = new_load(1)
    load.play(WARM_UP_S)
    since = load.now
    load.play(5.0)
    refused = [
        each for each in load.calls_of([LARGE], since, load.now) if each.outcome is Outcome.NOT_RUN
    ]
    assert refused
    waits = [each.retry_after_s for each in refused]
    assert all(wait is not None and wait >= 1.0 for wait in waits)
    # The customer stops; its next request comes when the last refusal said, and is served.
    load.senders.pop()
    load.play(ceil(waits[-1] or 0.0))
    call = load.send(LARGE, refused[-1].instance)
    load.play(TARGET_S + HELD_S)
    assert call.begun_at is not None
    assert call.begun_at - call.sent_at <= TARGET_S


def test_no_report_is_sent_without_competition() -> None:
    # Guards against messages that cost something while there is room for all.
    load = new_load(3, large=False)
    load.senders = load.senders[:3]
    reports: list[str] = []
    load.on_message = lambda name, effect: (
        reports.append(name) if type(effect.message).__name__.startswith("Share") else None
    )
    load.play(WARM_UP_S)
    assert load.calls
    assert not reports


def test_reports_of_many_customers_stay_small() -> None:
    # Guards against reports that grow with the number of customers.
    load = new_load(2, large=False)
    load.senders = [Sender(f"{number:012}", 4.0, ("a-1",)) for number in range(60)]
    sizes: list[int] = []
    load.on_message = lambda name, effect: (
        sizes.append(len(msgspec.msgpack.encode(effect.message)))
        if type(effect.message).__name__.startswith("Share")
        else None
    )
    load.play(3.0)
    assert sizes
    # One class, with as many customers as a report holds, and a datagram at the most.
    assert max(sizes) <= 600
