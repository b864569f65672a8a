"""Rate limits of customers and teams over several instances, in memory and on a simulated clock."""

from __future__ import annotations

from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Config, Customer, Kind, Limit, ServiceClass
from turmericweir_core.base.ids import InstanceName, RequestId, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.limits import limit
from turmericweir_core.limits.limit_home import Division, on_demand, rebalance
from turmericweir_core.messages.peer_messages import LimitDemand
from turmericweir_core.state.limit_state import Bucket, Claim, customer_key
from turmericweir_standins.measure_limits import CUSTOMER, LimitWorld

RATE: Final = 40.0
CLASS: Final = ServiceClass("any", 0, target_s=1.0)


def admitted(world: LimitWorld, start: float, end: float) -> int:
    """Count what was admitted in a time."""
    return sum(1 for when in world.tallies[CUSTOMER].admitted if start <= when < end)


def overloaded(instances: int, *, centres: int = 1) -> LimitWorld:
    """Make a world whose callers ask for twice their limit, and let the shares settle."""
    world = LimitWorld(instances, {CUSTOMER: Limit(requests_s=RATE)}, centres=centres)
    world.offer(CUSTOMER, 2 * RATE, world.now, world.now + 300.0)
    world.run_until(world.now + 20.0)
    return world


def most_admitted(world: LimitWorld, seconds: float) -> float:
    """Bound what may be admitted in a time: the limit, and every bucket full once."""
    depth = sum(
        quantity.bucket.depth + 1
        for state in world.states.values()
        for holding in state.rate_limits.held.values()
        for quantity in holding.quantities()
    )
    return RATE * seconds + depth


@pytest.mark.parametrize("instances", [1, 2, 8, 64])
def test_limit_holds_over_all_instances(instances: int) -> None:
    # Callers send twice their limit through a balancer. What gets through is the limit, whatever
    # the number of instances, but for the depth of their buckets.
    world = overloaded(instances)
    start = world.now
    world.run_until(start + 30.0)
    count = admitted(world, start, world.now)
    assert count <= most_admitted(world, 30.0)
    assert count >= 0.85 * RATE * 30.0


def test_shares_follow_demand() -> None:
    # A balancer sends a customer's requests to other instances from one moment to the next. The
    # shares move with them, and the limit holds meanwhile.
    world = LimitWorld(8, {CUSTOMER: Limit(requests_s=RATE)})
    names = list(world.states)
    middle = world.now + 30.0
    world.offer(CUSTOMER, 2 * RATE, world.now, middle, among=names[:2])
    world.offer(CUSTOMER, 2 * RATE, middle, middle + 60.0, among=names[6:])
    world.run_until(middle + 30.0)
    start = world.now
    world.run_until(start + 20.0)
    assert admitted(world, start, world.now) >= 0.85 * RATE * 20.0
    assert admitted(world, start, world.now) <= most_admitted(world, 20.0)


def test_below_the_limit_hardly_anything_is_refused() -> None:
    # A customer that keeps its limit sees next to no refusals, though each instance sees only a few
    # of its requests, in twos and threes.
    world = LimitWorld(8, {CUSTOMER: Limit(requests_s=RATE)})
    world.offer(CUSTOMER, 0.6 * RATE, world.now, world.now + 120.0)
    world.run_until(world.now + 120.0)
    tally = world.tallies[CUSTOMER]
    assert len(tally.refused) <= 0.02 * len(tally.admitted)


def test_home_that_dies_is_replaced() -> None:
    # The instance that divides the limit dies. Its successor learns of the shares from those that
    # hold them before it hands out any that look free, so the limit holds all along.
    world = overloaded(8)
    start = world.now
    world.kill(world.home_of(CUSTOMER))
    world.run_until(start + 30.0)
    assert admitted(world, start, world.now) <= most_admitted(world, 30.0)
    assert admitted(world, start, world.now) >= 0.75 * RATE * 30.0


def test_new_home_grants_no_more_than_was_held() -> None:
    # The first to ask a new home is not given the whole limit, though nobody else is known to hold
    # any: the others have not had time to say so. Once they had, it gets what is left.
    world = LimitWorld(4, {CUSTOMER: Limit(requests_s=RATE)})
    first, second, *_ = world.states
    state = world.states[first]
    # It looks up who is live.
    limit.charge(state, world.now, request_of(world, "any"))
    ask = LimitDemand(customer_key(CUSTOMER), 100.0, 0.0, held_requests=15.0, held_tokens=0.0)
    share = on_demand(state, world.now, second, ask)
    assert share is not None
    assert share.requests == 15.0
    later = world.now + world.options.rate_learn_s
    share = on_demand(state, later, second, ask)
    assert share is not None
    assert share.requests == RATE


def test_each_side_of_a_partition_goes_on_with_its_part() -> None:
    # A data centre is cut off. Both sides have a home of their own, and each hands out only what
    # its instances are of all, so that they do not admit twice the limit between them.
    world = overloaded(8, centres=2)
    start = world.now
    world.cut_off(world.centres[0])
    world.run_until(start + 60.0)
    assert admitted(world, start, world.now) <= most_admitted(world, 60.0)
    # Either side still admits its part once its home knows who asks.
    start = world.now
    world.run_until(start + 20.0)
    assert admitted(world, start, world.now) >= 0.85 * RATE * 20.0


def test_quiet_customers_send_no_messages() -> None:
    # Shares are good for minutes, and only a change of demand is worth a message.
    world = overloaded(8)
    world.run_until(world.now + 30.0)
    sent = world.messages
    world.run_until(world.now + 20.0)
    assert world.messages - sent < 20 * 8


def one_instance(limited: Limit, *, team: Limit | None = None) -> LimitWorld:
    """Make a world of one instance, with a limit of the customer and maybe of its team."""
    world = LimitWorld(1, {CUSTOMER: limited})
    if team is not None:
        world.config = Config(
            customers={CUSTOMER: Customer(CUSTOMER, team="herons", limit=limited)},
            teams={"herons": team},
        )
        for state in world.states.values():
            state.config = world.config
    return world


def request_of(world: LimitWorld, name: str, *, predicted: float = 0.0) -> Request:
    """Make a request of the customer, whose team is `herons`."""
    return Request(
        request_id=RequestId(name),
        kind=Kind.MODEL if predicted else Kind.PLAIN,
        target=Target("any"),
        customer=CUSTOMER,
        team="herons",
        service_class=CLASS,
        arrived=world.now,
        deadline=world.now + 60.0,
        predicted_tokens=predicted,
    )


def test_refusal_says_when_to_come_back() -> None:
    # One request more than the bucket holds is refused; sent again when it was told to, it passes.
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
    # The customer has no limit of its own, its team has.
    world = one_instance(Limit(), team=Limit(requests_s=0.5))
    state = next(iter(world.states.values()))
    refusals = [limit.charge(state, world.now, request_of(world, str(each))) for each in range(9)]
    assert refusals[0] is None
    assert refusals[-1] is not None
    assert refusals[-1].reason is Reason.TEAM_LIMIT


def test_a_refusal_by_the_team_costs_the_customer_nothing() -> None:
    # Both have limits. A request that its team's limit refuses is not counted as the customer's.
    world = one_instance(Limit(requests_s=1000.0), team=Limit(requests_s=0.1))
    state = next(iter(world.states.values()))
    for each in range(9):
        limit.charge(state, world.now, request_of(world, str(each)))
    holding = state.rate_limits.held[customer_key(CUSTOMER)]
    team = state.rate_limits.charges
    assert holding.requests is not None
    assert holding.requests.bucket.level >= 1.0 - len(team)


def test_tokens_are_charged_by_prediction_and_settled_by_delivery() -> None:
    # A request that was predicted long and ended short gives back what it did not use; one that ran
    # on is charged for all of it at its end.
    world = one_instance(Limit(tokens_s=100.0))
    state = next(iter(world.states.values()))
    req = request_of(world, "req", predicted=50.0)
    assert limit.charge(state, world.now, req) is None
    tokens = state.rate_limits.held[customer_key(CUSTOMER)].tokens
    assert tokens is not None
    level = tokens.bucket.level
    req.delivered = 80
    limit.settle(state, world.now, req, Outcome.COMPLETED)
    assert tokens.bucket.level == pytest.approx(level + 50.0 - 80)
    assert not state.rate_limits.charges


def test_what_did_not_run_costs_nothing() -> None:
    # The request passed its limit and was then refused for want of capacity.
    world = one_instance(Limit(requests_s=10.0))
    state = next(iter(world.states.values()))
    req = request_of(world, "req")
    assert limit.charge(state, world.now, req) is None
    holding = state.rate_limits.held[customer_key(CUSTOMER)]
    assert holding.requests is not None
    level = holding.requests.bucket.level
    limit.settle(state, world.now, req, Outcome.NOT_RUN)
    assert holding.requests.bucket.level == pytest.approx(level + 1.0)


def test_a_lowered_limit_is_in_force_at_once() -> None:
    # An operator lowers the limit while the instance holds a share of the old one.
    world = one_instance(Limit(requests_s=100.0))
    state = next(iter(world.states.values()))
    limit.charge(state, world.now, request_of(world, "one"))
    world.run_until(world.now + 5.0)
    state.config = Config(customers={CUSTOMER: Customer(CUSTOMER, limit=Limit(requests_s=1.0))})
    limit.charge(state, world.now, request_of(world, "two"))
    holding = state.rate_limits.held[customer_key(CUSTOMER)]
    assert holding.requests is not None
    assert holding.requests.bucket.rate <= 1.0


def test_share_without_a_lease_shrinks_to_an_even_split() -> None:
    # No home answers for longer than the share is good for. The instance goes on with what an even
    # split would give it, as the share may be somebody else's by now.
    options = Options(rate_lease_s=5.0, rate_renew_s=3.0)
    world = LimitWorld(4, {CUSTOMER: Limit(requests_s=RATE)}, options=options)
    names = list(world.states)
    world.offer(CUSTOMER, 2 * RATE, world.now, world.now + 60.0, among=names[:1])
    world.run_until(world.now + 10.0)
    home = world.home_of(CUSTOMER)
    alone = next(name for name in names[:1])
    # The instance is not its own home, which would never be out of reach.
    assert home != alone
    world.dead.add(InstanceName(home))
    world.run_until(world.now + 10.0)
    holding = world.states[alone].rate_limits.held[customer_key(CUSTOMER)]
    assert holding.requests is not None
    assert holding.requests.bucket.rate <= RATE / 4 + 1e-9


@given(
    demands=st.lists(st.floats(0, 1000), min_size=1, max_size=20),
    granted=st.lists(st.floats(0, 1000), min_size=20, max_size=20),
    pool=st.floats(0.1, 1000),
)
def test_rebalancing_never_hands_out_more_than_there_is(
    demands: list[float], granted: list[float], pool: float
) -> None:
    # However much was granted before, afterwards it is no more than before or than the pool; and
    # whoever lacks more than a little got something, if there was anything to get.
    claims = [Claim(each, held) for each, held in zip(demands, granted, strict=False)]
    before = sum(each.granted for each in claims)
    division = Division(pool, sum(demands), len(claims))
    rebalance(division, claims, 1.4)
    after = sum(each.granted for each in claims)
    assert after <= max(before, pool) * (1 + 1e-6) + 1e-6
    if before <= pool:
        lacking = [each for each in claims if each.granted * 1.4 < division.share(each.demand)]
        assert not lacking


def test_a_bucket_admits_at_its_rate_whatever_the_sizes() -> None:
    # A request that is larger than the bucket passes once the bucket is above zero, and the debt is
    # paid before the next one does.
    bucket = Bucket(rate=10.0, depth=5.0, level=1.0, at=0.0)
    bucket.level -= 100.0
    assert bucket.wait_s() == pytest.approx(9.9)
    bucket.refill(9.8)
    assert bucket.level < 0
    bucket.refill(10.0)
    assert bucket.level > 0
