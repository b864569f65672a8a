"""Rate limits of customers and teams, over all instances: requests and tokens a second.

An instance holds a leased share of each limit that its callers draw on, as a token bucket, and
sends no message for a request. It tells the subject's home (`limit_home`) when its callers' demand
has changed by more than chance explains, and renews the lease now and then; the home answers with
the share, and calls shares back when somebody else needs them.

Where nobody answers: a share goes on until its lease ends, and shrinks then to no more than an even
split of the limit over the instances. Behind a partition each side has its own homes, and each
hands out only the part of the limit that its instances are of all that were last known.

Tokens are charged at admission by the predicted length and settled by what was delivered. A bucket
may go into debt by one request, so the overshoot is bounded by the depth of all buckets and what is
admitted until a new division has reached everybody; docs/design/limits.md has the figures.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, TypeVar

from msgspec import Struct

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import NO_LIMIT, Kind, Limit
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.reasons import Reason
from turmericweir_core.limits import limit_home
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.peer_messages import LimitAsk, LimitDemand, LimitGrant, LimitShare
from turmericweir_core.state.limit_state import (
    Bucket,
    Charge,
    Demand,
    Holding,
    LimitState,
    Quantity,
    Reach,
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
    """Why a request is over a limit, and when the bucket admits again."""

    reason: Reason
    retry_after_s: float


# --- requests --------------------------------------------------------------------------------


def charge(state: State, now: float, req: Request) -> LimitRefusal | None:
    """Charge an arriving request to its customer and team, or say why it is refused."""
    keys = _subjects(state, req)
    if not keys:
        return None
    tokens = _predicted(state, req)
    holdings = [_use(state, now, key, tokens) for key in keys]
    for key, holding in zip(keys, holdings, strict=True):
        wait_s = max((each.bucket.wait_s() for each in holding.quantities()), default=0.0)
        if any(each.bucket.level <= 0 for each in holding.quantities()):
            state.rate_limits.refused += 1
            reason = Reason.TEAM_LIMIT if is_team(key) else Reason.CUSTOMER_LIMIT
            return LimitRefusal(reason, _retry_after(state, wait_s))
    for holding in holdings:
        _take(holding, 1.0, tokens)
    state.rate_limits.charges[req.request_id] = Charge(tuple(keys), tokens)
    return None


def settle(state: State, now: float, req: Request, outcome: Outcome) -> None:
    """Replace what was charged for an ended request by what it used."""
    charged = state.rate_limits.charges.pop(req.request_id, None)
    if charged is None:
        return
    requests = -1.0 if outcome is Outcome.NOT_RUN else 0.0
    for key in charged.keys:
        holding = state.rate_limits.held.get(key)
        if holding is not None:
            for quantity in holding.quantities():
                quantity.bucket.refill(now)
            _take(holding, requests, req.delivered - charged.tokens)


def _subjects(state: State, req: Request) -> list[SubjectKey]:
    keys: list[SubjectKey] = []
    customer = state.config.customers.get(req.customer)
    if customer is not None and customer.limit != NO_LIMIT:
        keys.append(customer_key(req.customer))
    if state.config.teams.get(req.team, NO_LIMIT) != NO_LIMIT:
        keys.append(team_key(req.team))
    return keys


def _predicted(state: State, req: Request) -> float:
    if req.kind is Kind.PLAIN:
        return 0.0
    predicted = req.predicted_tokens or state.options.predict_default
    return predicted if req.max_tokens is None else min(predicted, float(req.max_tokens))


def _use(state: State, now: float, key: SubjectKey, tokens: float) -> Holding:
    """Count a request in the demand of a subject and bring its buckets up to date."""
    limits = state.rate_limits
    holding = limits.held.get(key)
    if holding is None:
        holding = limits.held[key] = Holding()
    _match_limit(state, now, key, holding)
    holding.used_at = now
    _count(state, now, holding.requests, 1.0)
    _count(state, now, holding.tokens, tokens)
    limits.touched.add(key)
    return holding


def _count(state: State, now: float, quantity: Quantity | None, size: float) -> None:
    if quantity is None:
        return
    options = state.options
    quantity.bucket.refill(now)
    demand = quantity.demand
    demand.decay(now, options.rate_slow_s, options.rate_fast_s)
    if size > 0:
        demand.unit += (size - demand.unit) * options.rate_unit_weight
        demand.add(size, options.rate_slow_s, options.rate_fast_s)


def _match_limit(state: State, now: float, key: SubjectKey, holding: Holding) -> None:
    """Bring a holding in line with the limit that is set now."""
    limit = limit_home.limit_of(state, key)
    split = _reach(state, now).split
    first_size = state.options.predict_default
    holding.requests = _matched(state, now, holding.requests, limit.requests_s, split, 1.0)
    holding.tokens = _matched(state, now, holding.tokens, limit.tokens_s, split, first_size)


def _matched(
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
        # One request gets through before the home has answered; the rest go by an even split.
        even = limit / split
        bucket = Bucket(even, _depth(state, even, unit), unit, now)
        return Quantity(bucket, Demand(now, unit=unit))
    if quantity.bucket.rate > limit:
        # The limit was lowered; the home follows when it is asked next.
        quantity.bucket.set_rate(now, limit, quantity.bucket.depth)
    return quantity


def _take(holding: Holding, requests: float, tokens: float) -> None:
    if holding.requests is not None:
        _draw(holding.requests.bucket, requests)
    if holding.tokens is not None:
        _draw(holding.tokens.bucket, tokens)


def _draw(bucket: Bucket, amount: float) -> None:
    bucket.level = min(bucket.depth, bucket.level - amount)


def _retry_after(state: State, wait_s: float) -> float:
    options = state.options
    return min(options.retry_after_max_s, max(options.retry_after_min_s, wait_s))


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask for the shares that are due, and send those that this instance is home for."""
    limits = state.rate_limits
    if not limits.held and not limits.home:
        return []
    _reach(state, now)
    keys = list(limits.touched)
    limits.touched.clear()
    if now >= limits.scan_due:
        limits.scan_due = now + state.options.rate_scan_s
        keys = list(limits.held)
    demands: dict[InstanceName, list[LimitDemand]] = {}
    for key in keys:
        _review(state, now, key, demands)
    effects = _ask_all(state, now, demands)
    return effects + _send_shares(state, now, limit_home.due_shares(state, now))


def _review(
    state: State, now: float, key: SubjectKey, demands: dict[InstanceName, list[LimitDemand]]
) -> None:
    limits = state.rate_limits
    holding = limits.held[key]
    if _is_idle(state, now, key, holding):
        del limits.held[key]
        return
    if now >= holding.valid_until:
        _shrink(state, now, key, holding)
    home = _home(state, key)
    if home != holding.home or _is_due(state, now, holding):
        demands.setdefault(home, []).append(_demand(state, now, key, holding))
        _note_asked(state, now, holding, home)


def _is_idle(state: State, now: float, key: SubjectKey, holding: Holding) -> bool:
    if limit_home.limit_of(state, key) == NO_LIMIT:
        return True
    return now - holding.used_at > state.options.rate_lease_s


def _is_due(state: State, now: float, holding: Holding) -> bool:
    options = state.options
    if holding.asked_at is not None:
        return now - holding.asked_at >= holding.answer_wait_s
    if now >= holding.ask_due:
        return now - holding.used_at <= options.rate_idle_s
    return any(_has_changed(state, now, each) for each in holding.quantities())


def _has_changed(state: State, now: float, quantity: Quantity) -> bool:
    options = state.options
    demand = quantity.demand
    demand.decay(now, options.rate_slow_s, options.rate_fast_s)
    rate = demand.rate(options.rate_fast_s, options.rate_sigmas)
    larger = max(rate, quantity.told)
    noise = options.rate_sigmas * sqrt(larger * demand.unit / options.rate_slow_s)
    return abs(rate - quantity.told) > options.rate_change_share * larger + noise


def _demand(state: State, now: float, key: SubjectKey, holding: Holding) -> LimitDemand:
    return LimitDemand(
        key=key,
        requests=_told(state, now, holding.requests),
        tokens=_told(state, now, holding.tokens),
        held_requests=_held(holding, holding.requests),
        held_tokens=_held(holding, holding.tokens),
    )


def _told(state: State, now: float, quantity: Quantity | None) -> float:
    if quantity is None:
        return 0.0
    options = state.options
    quantity.demand.decay(now, options.rate_slow_s, options.rate_fast_s)
    rate = quantity.demand.rate(options.rate_fast_s, options.rate_sigmas)
    quantity.told = rate
    return round(rate, 4)


def _held(holding: Holding, quantity: Quantity | None) -> float:
    if quantity is None or not holding.home:
        return 0.0
    return round(quantity.bucket.rate, 4)


def _note_asked(state: State, now: float, holding: Holding, home: InstanceName) -> None:
    options = state.options
    unanswered = holding.asked_at is not None and holding.home == home
    wait_s = min(2 * holding.answer_wait_s, options.rate_answer_max_s) if unanswered else 0.0
    holding.answer_wait_s = wait_s or options.rate_answer_s
    holding.asked_at = now
    holding.home = home


def _shrink(state: State, now: float, key: SubjectKey, holding: Holding) -> None:
    """Go on without a lease: the home may count this share as free again."""
    limit = limit_home.limit_of(state, key)
    split = _reach(state, now).split
    for quantity, most in _with_limit(holding, limit):
        rate = min(quantity.bucket.rate, most / split)
        if rate < quantity.bucket.rate:
            quantity.bucket.set_rate(now, rate, _depth(state, rate, quantity.demand.unit))


def _with_limit(holding: Holding, limit: Limit) -> list[tuple[Quantity, float]]:
    found: list[tuple[Quantity, float]] = []
    if holding.requests is not None and limit.requests_s is not None:
        found.append((holding.requests, limit.requests_s))
    if holding.tokens is not None and limit.tokens_s is not None:
        found.append((holding.tokens, limit.tokens_s))
    return found


def _depth(state: State, rate: float, unit: float) -> float:
    """Give the depth of a bucket: a burst of its rate, and never less than a few requests.

    Chance alone brings requests in twos and threes to an instance whose share is a request every
    few seconds; a bucket that held but one would refuse them far below the limit.
    """
    options = state.options
    return max(rate * options.rate_burst_s, options.rate_depth_min * unit)


# --- messages --------------------------------------------------------------------------------


def on_ask(state: State, now: float, sender: InstanceName, ask: LimitAsk) -> list[Effect]:
    """Answer an instance that takes this one for the home of its subjects."""
    _reach(state, now)
    shares = [limit_home.on_demand(state, now, sender, each) for each in ask.demands]
    return _send_shares(state, now, [(sender, each) for each in shares if each is not None])


def on_grant(state: State, now: float, sender: InstanceName, grant: LimitGrant) -> list[Effect]:
    """Take shares from a home."""
    for share in grant.shares:
        holding = state.rate_limits.held.get(SubjectKey(share.key))
        # One from a home that is no longer asked is stale: both would be used otherwise.
        if holding is not None and holding.home == sender:
            _take_share(state, now, holding, share)
    return []


def _take_share(state: State, now: float, holding: Holding, share: LimitShare) -> None:
    options = state.options
    holding.asked_at = None
    holding.answer_wait_s = 0.0
    holding.valid_until = now + options.rate_lease_s
    # Spread out, so that the renewals after a restart of many do not come all at once for ever.
    holding.ask_due = now + options.rate_renew_s * (0.8 + 0.4 * state.rng.random())
    _set_share(state, now, holding.requests, share.requests)
    _set_share(state, now, holding.tokens, share.tokens)


def _set_share(state: State, now: float, quantity: Quantity | None, rate: float) -> None:
    if quantity is not None and rate >= 0:
        depth = _depth(state, rate, quantity.demand.unit)
        quantity.bucket.set_rate(now, rate, depth)


def _ask_all(
    state: State, now: float, demands: dict[InstanceName, list[LimitDemand]]
) -> list[Effect]:
    effects: list[Effect] = []
    for home, asked in demands.items():
        address = state.rate_limits.reach.addresses.get(home, "")
        for batch in _batches(state, asked):
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
        address = state.rate_limits.reach.addresses.get(name)
        for batch in _batches(state, granted):
            if name == state.me.name:
                on_grant(state, now, name, LimitGrant(batch))
            elif address is not None:
                effects.append(SendDatagram(name, address, LimitGrant(batch)))
    return effects


def _batches(state: State, items: list[ItemT]) -> list[list[ItemT]]:
    """Cut a list so that each part fits one datagram."""
    size = state.options.rate_batch
    return [items[start : start + size] for start in range(0, len(items), size)]


# --- who takes part --------------------------------------------------------------------------


def _home(state: State, key: SubjectKey) -> InstanceName:
    reach = state.rate_limits.reach
    home = reach.homes.get(key)
    if home is None:
        home = max(reach.addresses, key=lambda name: rendezvous_weight(key, name))
        reach.homes[key] = home
    return home


def _reach(state: State, now: float) -> Reach:
    """Look up who is live, once a second at the most: hashing over 320 names is not free."""
    limits: LimitState = state.rate_limits
    reach = limits.reach
    if now - reach.at < state.options.rate_reach_s:
        return reach
    live = membership.live_instances(state, now)
    addresses = {each.name: each.peer_address for each in live}
    away = _out_of_reach(state, now)
    if addresses.keys() != reach.addresses.keys():
        reach.homes = {}
        limit_home.note_gone(state)
    reach.at = now
    reach.addresses = addresses
    reach.part = len(live) / (len(live) + away)
    reach.split = len(live) + away
    return reach


def _out_of_reach(state: State, now: float) -> int:
    """Count the instances of data centres that are cut off, which go on with their own part."""
    keep_s = state.options.rate_hold_s
    return sum(
        view.live
        for view in membership.data_centres(state, now)
        if not view.reachable and now - view.heard_at <= keep_s
    )
