"""Rate limits of customers and teams over all instances: requests and tokens per second.

An instance holds a leased share of each limit that its callers use, as a token bucket, so a single
request costs no message. It sends its demand to the subject's home (`limit_home`) when the demand
changes by more than random variation, and renews the lease from time to time; the home answers with
the share, and reclaims shares that other instances need.

If the home does not answer, a share is valid until its lease ends and is then reduced to at most an
even split of the limit over the instances. In a partition each side has its own homes, and each
grants only the part of the limit that corresponds to its part of all known instances.

Tokens are charged at admission by the predicted length and corrected by the delivered tokens. A
bucket may go into debt by one request. The overshoot is therefore bounded by the depth of all
buckets and by what is admitted until a new division has reached all instances; see
docs/design/limits.md.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, TypeVar

from msgspec import Struct

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import NO_LIMIT, Limit, ServiceKind
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.reasons import Reason
from turmericweir_core.limits import limit_home
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.limit_messages import LimitAsk, LimitDemand, LimitGrant, LimitShare
from turmericweir_core.state.limit_state import (
    Bucket,
    Charge,
    DemandAverage,
    HeldShare,
    LimitParticipants,
    Quantity,
    RateLimits,
    SubjectKey,
    customer_key,
    is_team,
    team_key,
)

if TYPE_CHECKING:
    from turmericweir_core.base.request import Request
    from turmericweir_core.state.state import State

ItemT = TypeVar("ItemT")


class LimitRefusal(Struct, frozen=True):
    """The limit that a request exceeds, and when its bucket admits requests again."""

    reason: Reason
    retry_after_s: float


# --- requests --------------------------------------------------------------------------------


def charge(state: State, now: float, req: Request) -> LimitRefusal | None:
    """Charge a request to its customer and team; return the refusal if a limit is exceeded."""
    keys = _subjects(state, req)
    if not keys:
        return None
    tokens = _predicted_tokens(state, req)
    holdings = [_record_use(state, now, key, tokens) for key in keys]
    for key, holding in zip(keys, holdings, strict=True):
        wait_s = max((quantity.bucket.wait_s() for quantity in holding.quantities()), default=0.0)
        if any(quantity.bucket.level <= 0 for quantity in holding.quantities()):
            state.rate_limits.refused += 1
            reason = Reason.TEAM_LIMIT if is_team(key) else Reason.CUSTOMER_LIMIT
            return LimitRefusal(reason, _retry_after_s(state, wait_s))
    for holding in holdings:
        _draw_both(holding, 1.0, tokens)
    state.rate_limits.charges[req.request_id] = Charge(tuple(keys), tokens)
    return None


def settle_charge(state: State, now: float, req: Request, outcome: Outcome) -> None:
    """Replace the charge of a finished request by its actual use."""
    charge_record = state.rate_limits.charges.pop(req.request_id, None)
    if charge_record is None:
        return
    requests = -1.0 if outcome is Outcome.NOT_RUN else 0.0
    for key in charge_record.keys:
        holding = state.rate_limits.held_shares.get(key)
        if holding is not None:
            for quantity in holding.quantities():
                quantity.bucket.refill(now)
            _draw_both(holding, requests, req.delivered - charge_record.tokens)


def _subjects(state: State, req: Request) -> list[SubjectKey]:
    keys: list[SubjectKey] = []
    customer = state.config.customers.get(req.customer)
    if customer is not None and customer.limit != NO_LIMIT:
        keys.append(customer_key(req.customer))
    if state.config.teams.get(req.team, NO_LIMIT) != NO_LIMIT:
        keys.append(team_key(req.team))
    return keys


def _predicted_tokens(state: State, req: Request) -> float:
    if req.kind is ServiceKind.PLAIN:
        return 0.0
    predicted = req.predicted_tokens or state.options.predict_default
    return predicted if req.max_tokens is None else min(predicted, float(req.max_tokens))


def _record_use(state: State, now: float, key: SubjectKey, tokens: float) -> HeldShare:
    """Add a request to the demand of a subject and update its buckets."""
    limits = state.rate_limits
    holding = limits.held_shares.get(key)
    if holding is None:
        holding = limits.held_shares[key] = HeldShare()
    _apply_limit(state, now, key, holding)
    holding.used_at = now
    _add_demand(state, now, holding.requests, 1.0)
    _add_demand(state, now, holding.tokens, tokens)
    limits.touched_subjects.add(key)
    return holding


def _add_demand(state: State, now: float, quantity: Quantity | None, size: float) -> None:
    if quantity is None:
        return
    options = state.options
    quantity.bucket.refill(now)
    demand = quantity.demand
    demand.decay(now, options.rate_slow_s, options.rate_fast_s)
    if size > 0:
        demand.unit += (size - demand.unit) * options.rate_unit_weight
        demand.add(size, options.rate_slow_s, options.rate_fast_s)


def _apply_limit(state: State, now: float, key: SubjectKey, holding: HeldShare) -> None:
    """Update a holding to the limit in the settings."""
    limit = limit_home.subject_limit(state, key)
    split = _participants(state, now).split
    initial_unit = state.options.predict_default
    holding.requests = _quantity_for_limit(
        state, now, holding.requests, limit.requests_s, split, 1.0
    )
    holding.tokens = _quantity_for_limit(
        state, now, holding.tokens, limit.tokens_s, split, initial_unit
    )


def _quantity_for_limit(
    state: State,
    now: float,
    quantity: Quantity | None,
    limit: float | None,
    split: int,
    unit: float,
) -> Quantity | None:
    if limit is None:
        return None
    if quantity is None:
        # One request is admitted before the home answers; the rest use an even split.
        even_rate = limit / split
        bucket = Bucket(even_rate, _depth(state, even_rate, unit), unit, now)
        return Quantity(bucket, DemandAverage(now, unit=unit))
    if quantity.bucket.rate > limit:
        # The limit was lowered; the home applies it at the next request for a share.
        quantity.bucket.set_rate(now, limit, quantity.bucket.depth)
    return quantity


def _draw_both(holding: HeldShare, requests: float, tokens: float) -> None:
    if holding.requests is not None:
        _draw(holding.requests.bucket, requests)
    if holding.tokens is not None:
        _draw(holding.tokens.bucket, tokens)


def _draw(bucket: Bucket, amount: float) -> None:
    bucket.level = min(bucket.depth, bucket.level - amount)


def _retry_after_s(state: State, wait_s: float) -> float:
    options = state.options
    return min(options.retry_after_max_s, max(options.retry_after_min_s, wait_s))


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Request the shares that are due, and send those that this instance grants as home."""
    limits = state.rate_limits
    if not limits.held_shares and not limits.home:
        return []
    _participants(state, now)
    keys = list(limits.touched_subjects)
    limits.touched_subjects.clear()
    if now >= limits.next_scan_at:
        limits.next_scan_at = now + state.options.rate_scan_s
        keys = list(limits.held_shares)
    demands: dict[InstanceName, list[LimitDemand]] = {}
    for key in keys:
        _review_holding(state, now, key, demands)
    effects = _request_shares(state, now, demands)
    return effects + _send_shares(state, now, limit_home.rebalanced_shares(state, now))


def _review_holding(
    state: State, now: float, key: SubjectKey, demands: dict[InstanceName, list[LimitDemand]]
) -> None:
    limits = state.rate_limits
    holding = limits.held_shares[key]
    if _is_idle(state, now, key, holding):
        del limits.held_shares[key]
        return
    if now >= holding.valid_until:
        _shrink_share(state, now, key, holding)
    home = _home(state, key)
    if home != holding.home or _is_request_due(state, now, holding):
        demands.setdefault(home, []).append(_demand_message(state, now, key, holding))
        _record_request(state, now, holding, home)


def _is_idle(state: State, now: float, key: SubjectKey, holding: HeldShare) -> bool:
    if limit_home.subject_limit(state, key) == NO_LIMIT:
        return True
    return now - holding.used_at > state.options.rate_lease_s


def _is_request_due(state: State, now: float, holding: HeldShare) -> bool:
    options = state.options
    if holding.query_sent_at is not None:
        return now - holding.query_sent_at >= holding.answer_wait_s
    if now >= holding.next_query_at:
        return now - holding.used_at <= options.rate_idle_s
    return any(_has_changed(state, now, quantity) for quantity in holding.quantities())


def _has_changed(state: State, now: float, quantity: Quantity) -> bool:
    options = state.options
    demand = quantity.demand
    demand.decay(now, options.rate_slow_s, options.rate_fast_s)
    rate = demand.rate(options.rate_fast_s, options.rate_sigmas)
    larger = max(rate, quantity.reported_demand)
    noise = options.rate_sigmas * sqrt(larger * demand.unit / options.rate_slow_s)
    return abs(rate - quantity.reported_demand) > options.rate_change_share * larger + noise


def _demand_message(state: State, now: float, key: SubjectKey, holding: HeldShare) -> LimitDemand:
    return LimitDemand(
        key=key,
        requests=_report_rate(state, now, holding.requests),
        tokens=_report_rate(state, now, holding.tokens),
        held_requests=_held_rate(holding, holding.requests),
        held_tokens=_held_rate(holding, holding.tokens),
    )


def _report_rate(state: State, now: float, quantity: Quantity | None) -> float:
    if quantity is None:
        return 0.0
    options = state.options
    quantity.demand.decay(now, options.rate_slow_s, options.rate_fast_s)
    rate = quantity.demand.rate(options.rate_fast_s, options.rate_sigmas)
    quantity.reported_demand = rate
    return round(rate, 4)


def _held_rate(holding: HeldShare, quantity: Quantity | None) -> float:
    if quantity is None or not holding.home:
        return 0.0
    return round(quantity.bucket.rate, 4)


def _record_request(state: State, now: float, holding: HeldShare, home: InstanceName) -> None:
    options = state.options
    is_unanswered = holding.query_sent_at is not None and holding.home == home
    wait_s = min(2 * holding.answer_wait_s, options.rate_answer_max_s) if is_unanswered else 0.0
    holding.answer_wait_s = wait_s or options.rate_answer_s
    holding.query_sent_at = now
    holding.home = home


def _shrink_share(state: State, now: float, key: SubjectKey, holding: HeldShare) -> None:
    """Reduce a share whose lease has ended, as the home may have granted it to others."""
    limit = limit_home.subject_limit(state, key)
    split = _participants(state, now).split
    for quantity, max_rate in _limited_quantities(holding, limit):
        rate = min(quantity.bucket.rate, max_rate / split)
        if rate < quantity.bucket.rate:
            quantity.bucket.set_rate(now, rate, _depth(state, rate, quantity.demand.unit))


def _limited_quantities(holding: HeldShare, limit: Limit) -> list[tuple[Quantity, float]]:
    limited: list[tuple[Quantity, float]] = []
    if holding.requests is not None and limit.requests_s is not None:
        limited.append((holding.requests, limit.requests_s))
    if holding.tokens is not None and limit.tokens_s is not None:
        limited.append((holding.tokens, limit.tokens_s))
    return limited


def _depth(state: State, rate: float, unit: float) -> float:
    """Return the depth of a bucket: a burst at its rate, and at least a few requests.

    Prevents refusals far below the limit when a small share receives a few requests at once.
    """
    options = state.options
    return max(rate * options.rate_burst_s, options.rate_depth_min * unit)


# --- messages --------------------------------------------------------------------------------


def on_ask(state: State, now: float, sender: InstanceName, request: LimitAsk) -> list[Effect]:
    """Answer an instance that considers this one the home of its subjects."""
    _participants(state, now)
    shares = [limit_home.on_demand(state, now, sender, each) for each in request.demands]
    return _send_shares(state, now, [(sender, each) for each in shares if each is not None])


def on_grant(state: State, now: float, sender: InstanceName, grant: LimitGrant) -> list[Effect]:
    """Apply shares from a home."""
    for share in grant.shares:
        holding = state.rate_limits.held_shares.get(SubjectKey(share.key))
        # A share from a former home is stale. Prevents the use of two shares.
        if holding is not None and holding.home == sender:
            _apply_share(state, now, holding, share)
    return []


def _apply_share(state: State, now: float, holding: HeldShare, share: LimitShare) -> None:
    options = state.options
    holding.query_sent_at = None
    holding.answer_wait_s = 0.0
    holding.valid_until = now + options.rate_lease_s
    # Random, so that renewals of many instances do not stay synchronized after a restart.
    holding.next_query_at = now + options.rate_renew_s * (0.8 + 0.4 * state.rng.random())
    _set_share(state, now, holding.requests, share.requests)
    _set_share(state, now, holding.tokens, share.tokens)


def _set_share(state: State, now: float, quantity: Quantity | None, rate: float) -> None:
    if quantity is not None and rate >= 0:
        depth = _depth(state, rate, quantity.demand.unit)
        quantity.bucket.set_rate(now, rate, depth)


def _request_shares(
    state: State, now: float, demands: dict[InstanceName, list[LimitDemand]]
) -> list[Effect]:
    effects: list[Effect] = []
    for home, home_demands in demands.items():
        address = state.rate_limits.participants.addresses.get(home, "")
        for batch in _batches(state, home_demands):
            if home == state.me.name:
                effects += on_ask(state, now, home, LimitAsk(batch))
            else:
                effects.append(SendDatagram(home, address, LimitAsk(batch)))
    return effects


def _send_shares(
    state: State, now: float, shares: list[tuple[InstanceName, LimitShare]]
) -> list[Effect]:
    by_name: dict[InstanceName, list[LimitShare]] = {}
    for name, share in shares:
        by_name.setdefault(name, []).append(share)
    effects: list[Effect] = []
    for name, granted in by_name.items():
        address = state.rate_limits.participants.addresses.get(name)
        for batch in _batches(state, granted):
            if name == state.me.name:
                on_grant(state, now, name, LimitGrant(batch))
            elif address is not None:
                effects.append(SendDatagram(name, address, LimitGrant(batch)))
    return effects


def _batches(state: State, items: list[ItemT]) -> list[list[ItemT]]:
    """Split a list into parts that fit one datagram."""
    size = state.options.rate_batch
    return [items[start : start + size] for start in range(0, len(items), size)]


# --- homes and live instances -----------------------------------------------------------------


def _home(state: State, key: SubjectKey) -> InstanceName:
    participants = state.rate_limits.participants
    home = participants.homes.get(key)
    if home is None:
        home = max(participants.addresses, key=lambda name: rendezvous_weight(key, name))
        participants.homes[key] = home
    return home


def _participants(state: State, now: float) -> LimitParticipants:
    """Return the live instances, updated at a fixed interval to limit the cost of hashing."""
    limits: RateLimits = state.rate_limits
    participants = limits.participants
    if now - participants.updated_at < state.options.rate_reach_s:
        return participants
    live = membership.live_instances(state, now)
    addresses = {member.name: member.peer_address for member in live}
    unreachable = _unreachable_instances(state, now)
    if addresses.keys() != participants.addresses.keys():
        participants.homes = {}
        limit_home.mark_all_changed(state)
    participants.updated_at = now
    participants.addresses = addresses
    participants.partition_share = len(live) / (len(live) + unreachable)
    participants.split = len(live) + unreachable
    return participants


def _unreachable_instances(state: State, now: float) -> int:
    """Return the number of instances in unreachable data centres, which use part of the limits."""
    hold_s = state.options.rate_hold_s
    return sum(
        view.live
        for view in membership.data_centre_views(state, now)
        if not view.reachable and now - view.last_seen_at <= hold_s
    )
