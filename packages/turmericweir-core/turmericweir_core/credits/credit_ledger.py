"""Queries on a ledger of credit, and `set_granted`, the only function that changes a grant."""

from __future__ import annotations

from collections.abc import Iterable

from turmericweir_core.credits.credit_allocation import Capacity
from turmericweir_core.messages.credit_messages import TierDemand, TierGrant
from turmericweir_core.state.credit_state import CreditHolding, CreditLedger


def grant_covers(granted: Iterable[TierGrant], demand: Iterable[TierDemand]) -> bool:
    """Return whether a grant covers a demand at each tier."""
    slots = {each.tier: each.slots for each in granted}
    return all(each.running + each.waiting <= slots.get(each.tier, 0) for each in demand)


def demand_once_started(demand: Iterable[TierDemand]) -> tuple[TierDemand, ...]:
    """Return a demand with its waiting requests counted as running."""
    return tuple(TierDemand(each.tier, each.running + each.waiting, 0) for each in demand)


def demand_by_tier(holding: CreditHolding) -> dict[int, int]:
    """Return the slots that an instance could use, by tier."""
    return {tier: each.running + each.waiting for tier, each in holding.demand.items()}


def lower_demand(holding: CreditHolding, capacity: Capacity) -> int:
    """Return the slots that an instance could use below the most urgent tier."""
    wants = demand_by_tier(holding)
    return sum(slots for tier, slots in wants.items() if tier != capacity.most_urgent)


def missing_slots(holding: CreditHolding, capacity: Capacity) -> int:
    """Return the slots that an instance needs in addition to its grant.

    If slots are granted by tier, those of a more urgent tier do not count for a lower one.
    """
    wants = demand_by_tier(holding)
    if not capacity.is_tier_bound:
        return max(0, sum(wants.values()) - holding.total())
    short = 0
    missing = 0
    for tier in sorted({*wants, *holding.granted}, reverse=True):
        missing += wants.get(tier, 0) - holding.granted.get(tier, 0)
        short = max(short, missing)
    return short


def exceeds_capacity(ledger: CreditLedger, capacity: Capacity) -> bool:
    """Return whether the last demands of all holders exceed the capacity."""
    wants = sum(sum(demand_by_tier(each).values()) for each in ledger.holdings.values())
    lower = sum(lower_demand(each, capacity) for each in ledger.holdings.values())
    return wants > capacity.slots or lower > capacity.lower_slots


def free_slots(ledger: CreditLedger, capacity: Capacity) -> int:
    """Return the number of slots that no instance may be using."""
    return capacity.slots - sum(each.committed() for each in ledger.holdings.values())


def free_lower_slots(ledger: CreditLedger, capacity: Capacity) -> int:
    """Return the number of free slots for tiers below the most urgent one."""
    used = sum(each.committed_below(capacity.most_urgent) for each in ledger.holdings.values())
    return capacity.lower_slots - used


def set_granted(
    holding: CreditHolding, capacity: Capacity, slots: dict[int, int], assured: dict[int, int]
) -> bool:
    """Set the grant of an instance; return whether its slots changed."""
    is_unchanged = slots == holding.granted
    if not capacity.is_tier_bound:
        is_unchanged = sum(slots.values()) == holding.total()
    if is_unchanged and assured == holding.assured:
        holding.granted = slots
        return False
    total_before = holding.total()
    holding.granted = slots
    holding.assured = assured
    holding.number += 1
    if holding.total() < total_before:
        holding.unconfirmed = max(holding.unconfirmed, total_before)
    return True
