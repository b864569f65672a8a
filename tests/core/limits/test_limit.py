"""Rate limits of customers and teams over several instances, on a simulated clock."""

from __future__ import annotations

from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Config, Customer, Limit, ServiceClass, ServiceKind
from turmericweir_core.base.ids import InstanceName, RequestId, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.limits import limit
from turmericweir_core.limits.limit_home import Division, on_demand, rebalance
from turmericweir_core.messages.limit_messages import LimitDemand
from turmericweir_core.state.limit_state import Bucket, QuantityGrant, customer_key
from turmericweir_standins.measure_limits import CUSTOMER, LimitSimulation

RATE: Final = 40.0
CLASS: Final = ServiceClass("any", 0, target_s=1.0)


def count_admitted(world: LimitSimulation, start: float, end: float) -> int:
    """Return the number of requests admitted in an interval."""
    return sum(1 for admitted_at in world.tallies[CUSTOMER].admitted if start <= admitted_at < end)


def overloaded_world(instances: int, *, centres: int = 1) -> LimitSimulation:
    """Return a world whose callers request twice their limit, with settled shares."""
    world = LimitSimulation(instances, {CUSTOMER: Limit(requests_s=RATE)}, centres=centres)
    world.offer(CUSTOMER, 2 * RATE, world.now, world.now + 300.0)
    world.run_until(world.now + 20.0)
    return world


def max_admitted(world: LimitSimulation, seconds: float) -> float:
    """Return the most that may be admitted in an interval: the limit and each full bucket."""
    depth = sum(
        quantity.bucket.depth + 1
        for state in world.states.values()
        for holding in state.rate_limits.held_shares.values()
        for quantity in holding.quantities()
    )
    return RATE * seconds + depth


@pytest.mark.parametrize("instances", [1, 2, 8, 64])
def test_limit_holds_over_all_instances(instances: int) -> None:
    # The admitted rate is the limit for any number of instances, apart from the bucket depths.
    world = overloaded_world(instances)
    start = world.now
    world.run_until(start + 30.0)
    count = count_admitted(world, start, world.now)
    assert count <= max_admitted(world, 30.0)
    assert count >= 0.85 * RATE * 30.0


def test_shares_follow_demand() -> None:
    # Shares follow requests that move to other instances, and the limit holds meanwhile.
    world = LimitSimulation(8, {CUSTOMER: Limit(requests_s=RATE)})
    names = list(world.states)
    middle = world.now + 30.0
    world.offer(CUSTOMER, 2 * RATE, world.now, middle, among=names[:2])
    world.offer(CUSTOMER, 2 * RATE, middle, middle + 60.0, among=names[6:])
    world.run_until(middle + 30.0)
    start = world.now
    world.run_until(start + 20.0)
    assert count_admitted(world, start, world.now) >= 0.85 * RATE * 20.0
    assert count_admitted(world, start, world.now) <= max_admitted(world, 20.0)


def test_few_requests_below_the_limit_are_refused() -> None:
    # A customer below its limit is hardly refused although each instance receives few requests in
    # small bursts.
    world = LimitSimulation(8, {CUSTOMER: Limit(requests_s=RATE)})
    world.offer(CUSTOMER, 0.6 * RATE, world.now, world.now + 120.0)
    world.run_until(world.now + 120.0)
    tally = world.tallies[CUSTOMER]
    assert len(tally.refused) <= 0.02 * len(tally.admitted)


def test_limit_holds_when_the_home_dies() -> None:
    # The new home learns the held shares before it grants free ones, so the limit holds after the
    # home's death.
    world = overloaded_world(8)
    start = world.now
    world.kill(world.home_of(CUSTOMER))
    world.run_until(start + 30.0)
    assert count_admitted(world, start, world.now) <= max_admitted(world, 30.0)
    assert count_admitted(world, start, world.now) >= 0.75 * RATE * 30.0


def test_new_home_grants_no_more_than_was_held() -> None:
    # The first instance that contacts a new home gets no more than it holds, and the rest once the
    # others had time to send requests.
    world = LimitSimulation(4, {CUSTOMER: Limit(requests_s=RATE)})
    first, second, *_ = world.states
    state = world.states[first]
    # Updates the live instances.
    limit.charge(state, world.now, request_of(world, "any"))
    ask = LimitDemand(customer_key(CUSTOMER), 100.0, 0.0, held_requests=15.0, held_tokens=0.0)
    share = on_demand(state, world.now, second, ask)
    assert share is not None
    assert share.requests == 15.0
    later = world.now + world.options.rate_learn_s
    share = on_demand(state, later, second, ask)
    assert share is not None
    assert share.requests == RATE


def test_each_side_of_a_partition_admits_its_part() -> None:
    # Each side of a partition grants only its part. Prevents both from admitting the whole limit.
    world = overloaded_world(8, centres=2)
    start = world.now
    world.partition_centre(world.centres[0])
    world.run_until(start + 60.0)
    assert count_admitted(world, start, world.now) <= max_admitted(world, 60.0)
    # Each side still admits its part once its home knows the demands.
    start = world.now
    world.run_until(start + 20.0)
    assert count_admitted(world, start, world.now) >= 0.85 * RATE * 20.0


def test_steady_demand_sends_few_messages() -> None:
    # Only a change of demand causes messages; shares are valid for minutes.
    world = overloaded_world(8)
    world.run_until(world.now + 30.0)
    sent = world.messages
    world.run_until(world.now + 20.0)
    assert world.messages - sent < 20 * 8


def one_instance(customer_limit: Limit, *, team: Limit | None = None) -> LimitSimulation:
    """Return a world of one instance, with a limit of the customer and optionally of its team."""
    world = LimitSimulation(1, {CUSTOMER: customer_limit})
    if team is not None:
        world.config = Config(
            customers={CUSTOMER: Customer(CUSTOMER, team="herons", limit=customer_limit)},
            teams={"herons": team},
        )
        for state in world.states.values():
            state.config = world.config
    return world


def request_of(world: LimitSimulation, name: str, *, predicted: float = 0.0) -> Request:
    """Return a request of the customer, whose team is `herons`."""
    return Request(
        request_id=RequestId(name),
        kind=ServiceKind.MODEL if predicted else ServiceKind.PLAIN,
        target=Target("any"),
        customer=CUSTOMER,
        team="herons",
        service_class=CLASS,
        arrived_at=world.now,
        deadline=world.now + 60.0,
        predicted_tokens=predicted,
    )


def test_refusal_returns_a_sufficient_retry_delay() -> None:
    # A refused request is admitted when it is sent again after the returned delay.
    world = one_instance(Limit(requests_s=0.5))
    state = next(iter(world.states.values()))
    refusal = None
    count = 0
    while refusal is None:
        refusal = limit.charge(state, world.now, request_of(world, f"req-{count}"))
        count += 1
    assert refusal.reason is Reason.CUSTOMER_LIMIT
    assert refusal.retry_after_s >= 1.0
    world.now += refusal.retry_after_s + 0.01
    assert limit.charge(state, world.now, request_of(world, "later")) is None


def test_team_limit_holds_over_its_customers() -> None:
    # Only the team has a limit.
    world = one_instance(Limit(), team=Limit(requests_s=0.5))
    state = next(iter(world.states.values()))
    refusals = [
        limit.charge(state, world.now, request_of(world, str(number))) for number in range(9)
    ]
    assert refusals[0] is None
    assert refusals[-1] is not None
    assert refusals[-1].reason is Reason.TEAM_LIMIT


def test_refusal_by_the_team_is_not_charged_to_the_customer() -> None:
    # A request that the team's limit refuses is not charged to the customer.
    world = one_instance(Limit(requests_s=1000.0), team=Limit(requests_s=0.1))
    state = next(iter(world.states.values()))
    for number in range(9):
        limit.charge(state, world.now, request_of(world, str(number)))
    holding = state.rate_limits.held_shares[customer_key(CUSTOMER)]
    charges = state.rate_limits.charges
    assert holding.requests is not None
    assert holding.requests.bucket.level >= 1.0 - len(charges)


def test_tokens_are_charged_by_prediction_and_corrected_by_delivery() -> None:
    # Unused predicted tokens are returned, and additional ones are charged at the end.
    world = one_instance(Limit(tokens_s=100.0))
    state = next(iter(world.states.values()))
    req = request_of(world, "req", predicted=50.0)
    assert limit.charge(state, world.now, req) is None
    tokens = state.rate_limits.held_shares[customer_key(CUSTOMER)].tokens
    assert tokens is not None
    level = tokens.bucket.level
    req.delivered = 80
    limit.settle_charge(state, world.now, req, Outcome.COMPLETED)
    assert tokens.bucket.level == pytest.approx(level + 50.0 - 80)
    assert not state.rate_limits.charges


def test_request_that_did_not_run_is_not_charged() -> None:
    # A request that was admitted by its limit but not run is not charged.
    world = one_instance(Limit(requests_s=10.0))
    state = next(iter(world.states.values()))
    req = request_of(world, "req")
    assert limit.charge(state, world.now, req) is None
    holding = state.rate_limits.held_shares[customer_key(CUSTOMER)]
    assert holding.requests is not None
    level = holding.requests.bucket.level
    limit.settle_charge(state, world.now, req, Outcome.NOT_RUN)
    assert holding.requests.bucket.level == pytest.approx(level + 1.0)


def test_a_lowered_limit_is_in_force_at_once() -> None:
    # A lowered limit applies while the instance holds a share of the old one.
    world = one_instance(Limit(requests_s=100.0))
    state = next(iter(world.states.values()))
    limit.charge(state, world.now, request_of(world, "one"))
    world.run_until(world.now + 5.0)
    state.config = Config(customers={CUSTOMER: Customer(CUSTOMER, limit=Limit(requests_s=1.0))})
    limit.charge(state, world.now, request_of(world, "two"))
    holding = state.rate_limits.held_shares[customer_key(CUSTOMER)]
    assert holding.requests is not None
    assert holding.requests.bucket.rate <= 1.0


def test_share_without_a_lease_shrinks_to_an_even_split() -> None:
    # Without an answer until its lease ends, a share shrinks to an even split, as others may hold
    # it.
    options = Options(rate_lease_s=5.0, rate_renew_s=3.0)
    world = LimitSimulation(4, {CUSTOMER: Limit(requests_s=RATE)}, options=options)
    names = list(world.states)
    world.offer(CUSTOMER, 2 * RATE, world.now, world.now + 60.0, among=names[:1])
    world.run_until(world.now + 10.0)
    home = world.home_of(CUSTOMER)
    asker_name = next(name for name in names[:1])
    # The instance must not be its own home, which is always reachable.
    assert home != asker_name
    world.killed.add(InstanceName(home))
    world.run_until(world.now + 10.0)
    holding = world.states[asker_name].rate_limits.held_shares[customer_key(CUSTOMER)]
    assert holding.requests is not None
    assert holding.requests.bucket.rate <= RATE / 4 + 1e-9


@given(
    demands=st.lists(st.floats(0, 1000), min_size=1, max_size=20),
    granted=st.lists(st.floats(0, 1000), min_size=20, max_size=20),
    pool=st.floats(0.1, 1000),
)
def test_rebalancing_never_exceeds_the_pool(
    demands: list[float], granted: list[float], pool: float
) -> None:
    # Rebalancing grants no more than the pool or the previous total, and leaves no claim starved if
    # there was a free share.
    claims = [
        QuantityGrant(each, held_share) for each, held_share in zip(demands, granted, strict=False)
    ]
    granted_before = sum(each.granted for each in claims)
    division = Division(pool, sum(demands), len(claims))
    rebalance(division, claims, 1.4)
    granted_after = sum(each.granted for each in claims)
    assert granted_after <= max(granted_before, pool) * (1 + 1e-6) + 1e-6
    if granted_before <= pool:
        starved = [each for each in claims if each.granted * 1.4 < division.share(each.demand)]
        assert not starved


def test_a_bucket_admits_at_its_rate_whatever_the_sizes() -> None:
    # A request larger than the bucket is admitted while the level is positive, and the debt is
    # paid before the next one.
    bucket = Bucket(rate=10.0, depth=5.0, level=1.0, refilled_at=0.0)
    bucket.level -= 100.0
    assert bucket.wait_s() == pytest.approx(9.9)
    bucket.refill(9.8)
    assert bucket.level < 0
    bucket.refill(10.0)
    assert bucket.level > 0
