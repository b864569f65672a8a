"""The home of a limited customer or team: it divides the limit among the instances that request it.

Every subject has one home, by rendezvous hashing over the live instances. While instances disagree
on the live ones there may be two, and a limit could be granted twice for a short time. A new home
therefore grants each instance at most the share that it reports to hold, or an even share if that
is more, until all have sent a request.

A limit is divided by demand. While the total demand is below the limit, each instance gets its
demand and an even part of the rest, which leaves room for new demand. (With proportional parts,
each change of one demand would change every share and cost far more messages.) Above the limit each
instance gets a share in proportion to its demand. The sum of all grants never exceeds the limit: an
instance that requests more gets what is free at once, and the rest after shares were reclaimed from
others.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.config import NO_LIMIT, Limit
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.limit_messages import LimitDemand, LimitShare
from turmericweir_core.state.limit_state import (
    HomeSubject,
    QuantityGrant,
    ShareHolder,
    SubjectKey,
    is_team,
    subject_name,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Share of a limit that rounding errors of sums may reach.
_ROUNDING_SHARE: Final = 1e-6
# Share of a limit that may remain unassigned.
_IDLE_SHARE: Final = 0.05


class Division(Struct, frozen=True):
    """The division of one quantity of a limit by the current demands."""

    # The total to divide.
    pool: float
    # Sum of all demands.
    demand: float
    # Number of instances that request shares.
    requesters: int

    def share(self, demand: float) -> float:
        """Return the share of an instance with a demand."""
        if self.demand > self.pool:
            return self.pool * demand / self.demand
        return demand + (self.pool - self.demand) / self.requesters


def subject_limit(state: State, key: SubjectKey) -> Limit:
    """Return the limit of a subject in the settings."""
    name = subject_name(key)
    if is_team(key):
        return state.config.teams.get(name, NO_LIMIT)
    customer = state.config.customers.get(name)
    return NO_LIMIT if customer is None else customer.limit


def on_demand(
    state: State, now: float, requester: InstanceName, demand: LimitDemand
) -> LimitShare | None:
    """Record an instance's demand and return its share."""
    key = SubjectKey(demand.key)
    limit = subject_limit(state, key)
    if limit == NO_LIMIT:
        return None
    home = state.rate_limits.home.get(key)
    if home is None:
        home = state.rate_limits.home[key] = HomeSubject(home_since=now)
    holder = home.share_holders.get(requester)
    if holder is None:
        holder = home.share_holders[requester] = ShareHolder()
    holder.received_at = now
    holder.requests.demand = max(0.0, demand.requests)
    holder.tokens.demand = max(0.0, demand.tokens)
    home.has_changed_demand = True
    is_learning = now - home.home_since < state.options.rate_learn_s
    for grant, held_rate, max_rate, grants in (
        (holder.requests, demand.held_requests, limit.requests_s, _requests(home)),
        (holder.tokens, demand.held_tokens, limit.tokens_s, _tokens(home)),
    ):
        if max_rate is not None:
            _grant(state, grant, max_rate, grants, max(0.0, held_rate) if is_learning else None)
    return _share_message(key, limit, holder)


def _requests(home: HomeSubject) -> list[QuantityGrant]:
    return [holder.requests for holder in home.share_holders.values()]


def _tokens(home: HomeSubject) -> list[QuantityGrant]:
    return [holder.tokens for holder in home.share_holders.values()]


def _grant(
    state: State,
    target_grant: QuantityGrant,
    limit: float,
    grants: list[QuantityGrant],
    held_rate: float | None,
) -> None:
    """Grant the wanted share as far as it is free; the next rebalancing frees the rest."""
    division = _divide(state, limit, grants)
    wanted = division.share(target_grant.demand)
    free = division.pool - sum(grant.granted for grant in grants if grant is not target_grant)
    if held_rate is not None:
        # Others may hold shares from the previous home that are unknown here.
        even_share = division.pool / max(1, len(state.rate_limits.participants.addresses))
        free = min(free, max(held_rate, even_share))
    target_grant.granted = min(wanted, max(0.0, free))


def _divide(state: State, limit: float, grants: list[QuantityGrant]) -> Division:
    pool = limit * state.rate_limits.participants.partition_share
    return Division(pool, sum(grant.demand for grant in grants), max(1, len(grants)))


def _share_message(key: SubjectKey, limit: Limit, holder: ShareHolder) -> LimitShare:
    requests = -1.0 if limit.requests_s is None else round(holder.requests.granted, 3)
    tokens = -1.0 if limit.tokens_s is None else round(holder.tokens.granted, 3)
    return LimitShare(key, requests, tokens)


# --- rebalancing -----------------------------------------------------------------------------


def rebalanced_shares(state: State, now: float) -> list[tuple[InstanceName, LimitShare]]:
    """Rebalance the changed limits, and return the shares that have to be sent."""
    shares: list[tuple[InstanceName, LimitShare]] = []
    for key, home in list(state.rate_limits.home.items()):
        if now < home.next_push_at or not home.has_changed_demand:
            continue
        home.next_push_at = now + state.options.rate_push_s
        _drop_inactive(state, now, home)
        if not home.share_holders:
            del state.rate_limits.home[key]
            continue
        # A new home rebalances only after all instances had time to send a request.
        home.has_changed_demand = now - home.home_since < state.options.rate_learn_s
        if not home.has_changed_demand:
            shares += _changed_shares(state, key, home)
    return shares


def mark_all_changed(state: State) -> None:
    """Have all limits divided again at the next tick, after the live instances have changed."""
    for home in state.rate_limits.home.values():
        home.has_changed_demand = True


def _drop_inactive(state: State, now: float, home: HomeSubject) -> None:
    live = state.rate_limits.participants.addresses
    for name, holder in list(home.share_holders.items()):
        if name not in live or now - holder.received_at > state.options.rate_lease_s:
            del home.share_holders[name]


def _changed_shares(
    state: State, key: SubjectKey, home: HomeSubject
) -> list[tuple[InstanceName, LimitShare]]:
    limit = subject_limit(state, key)
    previous = [
        (share_holder.requests.granted, share_holder.tokens.granted)
        for share_holder in home.share_holders.values()
    ]
    for max_rate, grants in (
        (limit.requests_s, _requests(home)),
        (limit.tokens_s, _tokens(home)),
    ):
        if max_rate is not None:
            rebalance(_divide(state, max_rate, grants), grants, state.options.rate_push_factor)
    return [
        (name, _share_message(key, limit, holder))
        for (name, holder), previous_grant in zip(home.share_holders.items(), previous, strict=True)
        if (holder.requests.granted, holder.tokens.granted) != previous_grant
    ]


def rebalance(division: Division, grants: list[QuantityGrant], factor: float) -> None:
    """Raise grants that are far below their wanted shares, and reduce as few others as possible.

    Each changed grant costs a message. A few grants are therefore reduced to slightly below their
    wanted shares, and differences within random variation are ignored.
    """
    wanted = {id(grant): division.share(grant.demand) for grant in grants}
    starved = [grant for grant in grants if grant.granted * factor < wanted[id(grant)]]
    free = division.pool - sum(grant.granted for grant in grants)
    missing = sum(wanted[id(grant)] - grant.granted for grant in starved) - free
    reduced_grants = {id(grant): wanted[id(grant)] / sqrt(factor) for grant in grants}
    for grant in sorted(grants, key=lambda grant: reduced_grants[id(grant)] - grant.granted):
        if missing <= division.pool * _ROUNDING_SHARE or grant.granted <= reduced_grants[id(grant)]:
            break
        missing -= grant.granted - reduced_grants[id(grant)]
        grant.granted = reduced_grants[id(grant)]
    # If the other grants cannot free enough, all starved ones get the same fraction of the gap.
    needed = sum(wanted[id(grant)] - grant.granted for grant in starved)
    fraction = 1.0 if needed <= 0 else min(1.0, max(0.0, needed - max(0.0, missing)) / needed)
    for grant in starved:
        grant.granted += fraction * (wanted[id(grant)] - grant.granted)
    free = division.pool - sum(grant.granted for grant in grants)
    if free <= _IDLE_SHARE * division.pool:
        return
    # Assigns what remains free, such as the shares that fallen demand has freed.
    for grant in sorted(grants, key=lambda grant: grant.granted - wanted[id(grant)]):
        amount = min(free, wanted[id(grant)] - grant.granted)
        if amount <= 0:
            break
        grant.granted += amount
        free -= amount
