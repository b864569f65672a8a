"""The home of a limited customer or team: it divides the limit among the instances that request it.

Every subject has one home, by rendezvous hashing over the live instances. While instances disagree
on the live ones there may be two, and a limit may be granted twice for a short time. A new home
therefore grants each instance no more than it reports to hold, or an even share, until all have
sent a request.

A limit is divided by demand. Below the limit, each asker gets its demand and an even part of the
rest, so that new demand finds a share. (With proportional parts, each change of one demand would
change every share and cost far more messages.) Above the limit each gets its proportion. The sum of
all grants never exceeds the limit: an instance that requests more gets what is free at once, and
the rest after shares were reclaimed from others.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.config import NO_LIMIT, Limit
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.peer_messages import LimitDemand, LimitShare
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
    askers: int

    def share(self, demand: float) -> float:
        """Return the share of an asker."""
        if self.demand > self.pool:
            return self.pool * demand / self.demand
        return demand + (self.pool - self.demand) / self.askers


def subject_limit(state: State, key: SubjectKey) -> Limit:
    """Return the limit of a subject in the settings."""
    name = subject_name(key)
    if is_team(key):
        return state.config.teams.get(name, NO_LIMIT)
    customer = state.config.customers.get(name)
    return NO_LIMIT if customer is None else customer.limit


def on_demand(
    state: State, now: float, asker: InstanceName, demand: LimitDemand
) -> LimitShare | None:
    """Record an instance's demand and return its share."""
    key = SubjectKey(demand.key)
    limit = subject_limit(state, key)
    if limit == NO_LIMIT:
        return None
    home = state.rate_limits.home.get(key)
    if home is None:
        home = state.rate_limits.home[key] = HomeSubject(since=now)
    asker_state = home.share_holders.get(asker)
    if asker_state is None:
        asker_state = home.share_holders[asker] = ShareHolder()
    asker_state.received_at = now
    asker_state.requests.demand = max(0.0, demand.requests)
    asker_state.tokens.demand = max(0.0, demand.tokens)
    home.has_changed_demand = True
    is_learning = now - home.since < state.options.rate_learn_s
    for claim, held_rate, max_rate, claims in (
        (asker_state.requests, demand.held_requests, limit.requests_s, _requests(home)),
        (asker_state.tokens, demand.held_tokens, limit.tokens_s, _tokens(home)),
    ):
        if max_rate is not None:
            _grant(state, claim, max_rate, claims, max(0.0, held_rate) if is_learning else None)
    return _share_message(key, limit, asker_state)


def _requests(home: HomeSubject) -> list[QuantityGrant]:
    return [asker.requests for asker in home.share_holders.values()]


def _tokens(home: HomeSubject) -> list[QuantityGrant]:
    return [asker.tokens for asker in home.share_holders.values()]


def _grant(
    state: State,
    asker: QuantityGrant,
    limit: float,
    claims: list[QuantityGrant],
    held_rate: float | None,
) -> None:
    """Grant the wanted share as far as it is free; the next rebalancing frees the rest."""
    division = _divide(state, limit, claims)
    wanted = division.share(asker.demand)
    free = division.pool - sum(claim.granted for claim in claims if claim is not asker)
    if held_rate is not None:
        # Others may hold shares from the previous home that are unknown here.
        even_share = division.pool / max(1, len(state.rate_limits.participants.addresses))
        free = min(free, max(held_rate, even_share))
    asker.granted = min(wanted, max(0.0, free))


def _divide(state: State, limit: float, claims: list[QuantityGrant]) -> Division:
    pool = limit * state.rate_limits.participants.partition_share
    return Division(pool, sum(claim.demand for claim in claims), max(1, len(claims)))


def _share_message(key: SubjectKey, limit: Limit, asker: ShareHolder) -> LimitShare:
    requests = -1.0 if limit.requests_s is None else round(asker.requests.granted, 3)
    tokens = -1.0 if limit.tokens_s is None else round(asker.tokens.granted, 3)
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
        home.has_changed_demand = now - home.since < state.options.rate_learn_s
        if not home.has_changed_demand:
            shares += _changed_shares(state, key, home)
    return shares


def mark_all_changed(state: State) -> None:
    """Divide all limits again at the next tick, as the live instances have changed."""
    for home in state.rate_limits.home.values():
        home.has_changed_demand = True


def _drop_inactive(state: State, now: float, home: HomeSubject) -> None:
    live = state.rate_limits.participants.addresses
    for name, asker in list(home.share_holders.items()):
        if name not in live or now - asker.received_at > state.options.rate_lease_s:
            del home.share_holders[name]


def _changed_shares(
    state: State, key: SubjectKey, home: HomeSubject
) -> list[tuple[InstanceName, LimitShare]]:
    limit = subject_limit(state, key)
    previous = [
        (asker_state.requests.granted, asker_state.tokens.granted)
        for asker_state in home.share_holders.values()
    ]
    for max_rate, claims in (
        (limit.requests_s, _requests(home)),
        (limit.tokens_s, _tokens(home)),
    ):
        if max_rate is not None:
            rebalance(_divide(state, max_rate, claims), claims, state.options.rate_push_factor)
    return [
        (name, _share_message(key, limit, asker))
        for (name, asker), previous_grant in zip(home.share_holders.items(), previous, strict=True)
        if (asker.requests.granted, asker.tokens.granted) != previous_grant
    ]


def rebalance(division: Division, claims: list[QuantityGrant], factor: float) -> None:
    """Move shares to claims that hold much less than theirs, from as few others as possible.

    Each changed share costs a message. A few claims therefore give up shares, down to slightly
    below their own, and differences within random variation are ignored.
    """
    wanted = {id(claim): division.share(claim.demand) for claim in claims}
    starved = [claim for claim in claims if claim.granted * factor < wanted[id(claim)]]
    free = division.pool - sum(claim.granted for claim in claims)
    missing = sum(wanted[id(claim)] - claim.granted for claim in starved) - free
    floor = {id(claim): wanted[id(claim)] / sqrt(factor) for claim in claims}
    for claim in sorted(claims, key=lambda claim: floor[id(claim)] - claim.granted):
        if missing <= division.pool * _ROUNDING_SHARE or claim.granted <= floor[id(claim)]:
            break
        missing -= claim.granted - floor[id(claim)]
        claim.granted = floor[id(claim)]
    # If the other claims cannot free enough, all starved claims get the same fraction.
    needed = sum(wanted[id(claim)] - claim.granted for claim in starved)
    fraction = 1.0 if needed <= 0 else min(1.0, max(0.0, needed - max(0.0, missing)) / needed)
    for claim in starved:
        claim.granted += fraction * (wanted[id(claim)] - claim.granted)
    free = division.pool - sum(claim.granted for claim in claims)
    if free <= _IDLE_SHARE * division.pool:
        return
    # Shares that fallen demand has freed must not remain unassigned.
    for claim in sorted(claims, key=lambda claim: claim.granted - wanted[id(claim)]):
        amount = min(free, wanted[id(claim)] - claim.granted)
        if amount <= 0:
            break
        claim.granted += amount
        free -= amount
