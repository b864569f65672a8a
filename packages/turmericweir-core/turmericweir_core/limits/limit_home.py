"""The home of a limited customer or team: it divides the limit among the instances that asked.

Every subject has one home, by rendezvous hashing over the live instances. It is soft: while
instances disagree on who is live there may be two, and for a moment a limit is handed out twice; a
home that is new therefore grants nobody more than it says to hold already, until all have asked.

A limit is divided by demand. While there is demand to spare, each asker gets its demand and an even
part of the rest, so that a sudden caller meets a share that is not empty. (A part in proportion to
its demand would move everybody's share with each change of anybody's: ten times the messages.)
Above the limit each gets its proportion. What is granted never exceeds the limit in all:
who asks for more gets what is free at once, and the rest when shares were called back from those
who hold more than theirs.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.config import NO_LIMIT, Limit
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.peer_messages import LimitDemand, LimitShare
from turmericweir_core.state.limit_state import (
    Asker,
    Claim,
    HomeSubject,
    SubjectKey,
    is_team,
    subject_name,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Share of a limit that sums of floating point numbers may be off by.
_ROUNDING: Final = 1e-6
# Share of a limit that may stay with nobody.
_IDLE_SHARE: Final = 0.05


class Division(Struct, frozen=True):
    """How one quantity of a limit would be divided at the moment, had everybody just asked."""

    # What there is to hand out.
    pool: float
    # Sum of all demands.
    demand: float
    askers: int

    def share(self, demand: float) -> float:
        """Give the share of an asker."""
        if self.demand > self.pool:
            return self.pool * demand / self.demand
        return demand + (self.pool - self.demand) / self.askers


def limit_of(state: State, key: SubjectKey) -> Limit:
    """Look up the limit of a subject in the settings in force."""
    name = subject_name(key)
    if is_team(key):
        return state.config.teams.get(name, NO_LIMIT)
    customer = state.config.customers.get(name)
    return NO_LIMIT if customer is None else customer.limit


def on_demand(
    state: State, now: float, asker: InstanceName, demand: LimitDemand
) -> LimitShare | None:
    """Take an instance's demand and answer with its share."""
    key = SubjectKey(demand.key)
    limit = limit_of(state, key)
    if limit == NO_LIMIT:
        return None
    home = state.rate_limits.home.get(key)
    if home is None:
        home = state.rate_limits.home[key] = HomeSubject(since=now)
    known = home.askers.get(asker)
    if known is None:
        known = home.askers[asker] = Asker()
    known.heard_at = now
    known.requests.demand = max(0.0, demand.requests)
    known.tokens.demand = max(0.0, demand.tokens)
    home.changed = True
    learning = now - home.since < state.options.rate_learn_s
    for each, held, most, others in (
        (known.requests, demand.held_requests, limit.requests_s, _requests(home)),
        (known.tokens, demand.held_tokens, limit.tokens_s, _tokens(home)),
    ):
        if most is not None:
            _grant(state, each, most, others, max(0.0, held) if learning else None)
    return _message(key, limit, known)


def _requests(home: HomeSubject) -> list[Claim]:
    return [each.requests for each in home.askers.values()]


def _tokens(home: HomeSubject) -> list[Claim]:
    return [each.tokens for each in home.askers.values()]


def _grant(
    state: State, asker: Claim, limit: float, claims: list[Claim], held: float | None
) -> None:
    """Grant what is wanted, as far as it is free; the next rebalancing frees the rest."""
    division = _divide(state, limit, claims)
    wanted = division.share(asker.demand)
    free = division.pool - sum(each.granted for each in claims if each is not asker)
    if held is not None:
        # Others may hold shares from the home before, which this one has not heard of yet.
        even = division.pool / max(1, len(state.rate_limits.reach.addresses))
        free = min(free, max(held, even))
    asker.granted = min(wanted, max(0.0, free))


def _divide(state: State, limit: float, claims: list[Claim]) -> Division:
    pool = limit * state.rate_limits.reach.part
    return Division(pool, sum(each.demand for each in claims), max(1, len(claims)))


def _message(key: SubjectKey, limit: Limit, asker: Asker) -> LimitShare:
    requests = -1.0 if limit.requests_s is None else round(asker.requests.granted, 3)
    tokens = -1.0 if limit.tokens_s is None else round(asker.tokens.granted, 3)
    return LimitShare(key, requests, tokens)


# --- rebalancing -----------------------------------------------------------------------------


def due_shares(state: State, now: float) -> list[tuple[InstanceName, LimitShare]]:
    """Move shares to those who lack them, and list the ones that are to be sent."""
    found: list[tuple[InstanceName, LimitShare]] = []
    for key, home in list(state.rate_limits.home.items()):
        if now < home.push_due or not home.changed:
            continue
        home.push_due = now + state.options.rate_push_s
        _drop_gone(state, now, home)
        if not home.askers:
            del state.rate_limits.home[key]
            continue
        # A new home divides nothing anew before everyone has had time to ask.
        home.changed = now - home.since < state.options.rate_learn_s
        if not home.changed:
            found += _moved(state, key, home)
    return found


def note_gone(state: State) -> None:
    """Divide all limits anew at the next tick: somebody came or went."""
    for home in state.rate_limits.home.values():
        home.changed = True


def _drop_gone(state: State, now: float, home: HomeSubject) -> None:
    live = state.rate_limits.reach.addresses
    for name, asker in list(home.askers.items()):
        if name not in live or now - asker.heard_at > state.options.rate_lease_s:
            del home.askers[name]


def _moved(
    state: State, key: SubjectKey, home: HomeSubject
) -> list[tuple[InstanceName, LimitShare]]:
    limit = limit_of(state, key)
    before = [(each.requests.granted, each.tokens.granted) for each in home.askers.values()]
    for most, claims in (
        (limit.requests_s, _requests(home)),
        (limit.tokens_s, _tokens(home)),
    ):
        if most is not None:
            rebalance(_divide(state, most, claims), claims, state.options.rate_push_factor)
    return [
        (name, _message(key, limit, asker))
        for (name, asker), old in zip(home.askers.items(), before, strict=True)
        if (asker.requests.granted, asker.tokens.granted) != old
    ]


def rebalance(division: Division, claims: list[Claim], factor: float) -> None:
    """Give those who hold much less than their share what they lack, at the cost of a few.

    Every share that moves is a message. Were everybody to give an even part, one instance whose
    demand rose would cost a message to each of the others; so a few give more, down to a little
    below their share, and nobody moves for a difference that chance alone makes.
    """
    wanted = {id(each): division.share(each.demand) for each in claims}
    starved = [each for each in claims if each.granted * factor < wanted[id(each)]]
    free = division.pool - sum(each.granted for each in claims)
    lacking = sum(wanted[id(each)] - each.granted for each in starved) - free
    floor = {id(each): wanted[id(each)] / sqrt(factor) for each in claims}
    for each in sorted(claims, key=lambda each: floor[id(each)] - each.granted):
        if lacking <= division.pool * _ROUNDING or each.granted <= floor[id(each)]:
            break
        lacking -= each.granted - floor[id(each)]
        each.granted = floor[id(each)]
    # Where the others could not give it all, everyone who lacks gets the same part of it.
    needed = sum(wanted[id(each)] - each.granted for each in starved)
    part = 1.0 if needed <= 0 else min(1.0, max(0.0, needed - max(0.0, lacking)) / needed)
    for each in starved:
        each.granted += part * (wanted[id(each)] - each.granted)
    free = division.pool - sum(each.granted for each in claims)
    if free <= _IDLE_SHARE * division.pool:
        return
    # What demand left behind where it fell must not lie idle, though nobody lacks much.
    for each in sorted(claims, key=lambda each: each.granted - wanted[id(each)]):
        given = min(free, wanted[id(each)] - each.granted)
        if given <= 0:
            break
        each.granted += given
        free -= given
