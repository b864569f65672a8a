"""Questions about a ledger of credit, and the one way to change a grant in it."""

from __future__ import annotations

from collections.abc import Iterable

from turmericweir_core.credits.credit_allocation import Capacity
from turmericweir_core.messages.peer_messages import TierDemand, TierGrant
from turmericweir_core.state.credit_state import Holding, Ledger


def covers(granted: Iterable[TierGrant], demand: Iterable[TierDemand]) -> bool:
    """Tell whether a grant has the slots for all that a demand spoke of, tier by tier."""
    slots = {each.tier: each.slots for each in granted}
    return all(each.running + each.waiting <= slots.get(each.tier, 0) for each in demand)


def begun(demand: Iterable[TierDemand]) -> tuple[TierDemand, ...]:
    """Give a demand as it is once all that waited has begun."""
    return tuple(TierDemand(each.tier, each.running + each.waiting, 0) for each in demand)


def wants_of(holding: Holding) -> dict[int, int]:
    """Give the slots that an instance could use, by tier."""
    return {tier: each.running + each.waiting for tier, each in holding.demand.items()}


def lower_wants(holding: Holding, capacity: Capacity) -> int:
    """Count the slots that an instance could use below the most urgent tier."""
    wants = wants_of(holding)
    return sum(slots for tier, slots in wants.items() if tier != capacity.most_urgent)


def short_of(holding: Holding, capacity: Capacity) -> int:
    """Count the slots that an instance is short of, by its wants and what it was granted.

    Where slots are granted by tier, those of a more urgent tier do not count for a lower one.
    """
    wants = wants_of(holding)
    if not capacity.by_tier:
        return max(0, sum(wants.values()) - holding.total())
    short = 0
    missing = 0
    for tier in sorted({*wants, *holding.granted}, reverse=True):
        missing += wants.get(tier, 0) - holding.granted.get(tier, 0)
        short = max(short, missing)
    return short


def wants_too_much(ledger: Ledger, capacity: Capacity) -> bool:
    """Tell whether all holders together could use more than there is, by what they said last."""
    wants = sum(sum(wants_of(each).values()) for each in ledger.holdings.values())
    lower = sum(lower_wants(each, capacity) for each in ledger.holdings.values())
    return wants > capacity.slots or lower > capacity.lower_slots


def free_slots(ledger: Ledger, capacity: Capacity) -> int:
    """Count the slots that nobody may be using."""
    return capacity.slots - sum(each.committed() for each in ledger.holdings.values())


def free_below(ledger: Ledger, capacity: Capacity) -> int:
    """Count the free slots that tiers below the most urgent one may have."""
    used = sum(each.committed_below(capacity.most_urgent) for each in ledger.holdings.values())
    return capacity.lower_slots - used


def set_granted(
    holding: Holding, capacity: Capacity, slots: dict[int, int], assured: dict[int, int]
) -> bool:
    """Change what an instance is granted; tell whether that was a change."""
    same = slots == holding.granted
    if not capacity.by_tier:
        same = sum(slots.values()) == holding.total()
    if same and assured == holding.assured:
        holding.granted = slots
        return False
    before = holding.total()
    holding.granted = slots
    holding.assured = assured
    holding.number += 1
    if holding.total() < before:
        holding.unconfirmed = max(holding.unconfirmed, before)
    return True
