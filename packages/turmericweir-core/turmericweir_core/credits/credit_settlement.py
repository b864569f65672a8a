"""The settlement: divide one server's slots again among all holders.

Recalls credit first. Recalled slots are granted to others only when the holder has confirmed the
recall and runs no more than its new grant. The grants of one dispatcher therefore never exceed the
capacity, even if messages are lost or delayed. If lower attempts of a holder are to be displaced,
its grant contains the number of attempts to keep.
"""

from __future__ import annotations

from math import exp

from msgspec import Struct

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.credits.credit_allocation import Capacity, Share, Want, allocate
from turmericweir_core.credits.credit_ledger import (
    free_lower_slots,
    free_slots,
    lower_demand,
    missing_slots,
    set_granted,
)
from turmericweir_core.state.credit_state import CreditHolding, CreditLedger


def divide(options: Options, ledger: CreditLedger, capacity: Capacity) -> dict[InstanceName, Share]:
    """Return the share of each instance."""
    names = sorted(ledger.holdings, key=lambda name: _rank(options, ledger.holdings[name]))
    wants = [
        Want(name, each.tier, each.running, each.waiting)
        for name in names
        for each in ledger.holdings[name].demand.values()
        if each.running + each.waiting
    ]
    return allocate(capacity, names, wants, sorted(ledger.assured_tiers, reverse=True))


def _rank(options: Options, holding: CreditHolding) -> tuple[int, bool, float]:
    """Return a sort key that puts instances with the least recent use first, in coarse steps."""
    use_steps = int(holding.used_s / options.credit_turn_s)
    return (use_steps, not holding.total(), holding.used_s)


def update_use(options: Options, now: float, ledger: CreditLedger) -> None:
    """Update the recent use of all instances.

    Prevents an instance that always has requests from keeping a slot that others wait for.
    """
    for holding in ledger.holdings.values():
        update_use_of(options, now, holding)


def update_use_of(options: Options, now: float, holding: CreditHolding) -> None:
    """Add the reported attempts since the last update to the recent use of an instance.

    Called before the reported demand changes. Prevents attempts that have just started from being
    counted for the whole time since the last update.
    """
    elapsed_s = now - holding.used_at
    holding.used_at = now
    holding.used_s *= exp(-elapsed_s / options.credit_use_window_s)
    holding.used_s += holding.running() * min(options.credit_use_window_s, elapsed_s)


def needed_displacements(ledger: CreditLedger, capacity: Capacity) -> dict[int, int]:
    """Return, by tier, the number of uncovered requests for which attempts are to be displaced."""
    needed: dict[int, int] = {}
    for holding in ledger.holdings.values():
        uncovered = missing_slots(holding, capacity)
        for tier in sorted(holding.demand):
            count = min(uncovered, holding.demand[tier].displacing)
            if count:
                needed[tier] = needed.get(tier, 0) + count
                uncovered -= count
    return needed


def assign_displacements(ledger: CreditLedger, needed: dict[int, int]) -> set[InstanceName]:
    """Assign attempts to displace, the least urgent first; return the instances with a change."""
    changed: set[InstanceName] = set()
    displace_above = min(needed, default=0)
    assigned = 0
    for name in sorted(ledger.holdings, key=lambda name: -_lowest_running(ledger.holdings[name])):
        holding = ledger.holdings[name]
        lowest_tier = _lowest_running(holding)
        wanted = sum(count for tier, count in needed.items() if tier < lowest_tier)
        displaced = max(0, min(holding.running() - holding.total(), wanted - assigned))
        assigned += displaced
        attempts_to_keep = holding.running() - displaced if displaced else None
        if attempts_to_keep != holding.attempts_to_keep:
            holding.attempts_to_keep = attempts_to_keep
            changed.add(name)
        holding.displace_above = displace_above
    return changed


def _lowest_running(holding: CreditHolding) -> int:
    return max((each.tier for each in holding.demand.values() if each.running), default=-1)


def recall_credit(
    ledger: CreditLedger, capacity: Capacity, shares: dict[InstanceName, Share]
) -> set[InstanceName]:
    """Lower grants above their share if others need the slots; return the changed instances."""
    holdings = ledger.holdings.values()
    needed = sum(missing_slots(each, capacity) for each in holdings)
    is_lower_covered = _missing_lower_slots(ledger, capacity) <= free_lower_slots(ledger, capacity)
    # Starts with the largest surplus to recall from few instances, since each has to answer.
    missing = needed - free_slots(ledger, capacity)
    changed: set[InstanceName] = set()
    for name in sorted(shares, key=lambda each: -_surplus(ledger, shares, each)):
        holding, share = ledger.holdings[name], shares[name]
        is_enough = missing <= 0 and is_lower_covered and not ledger.assured_tiers
        if share.total() > holding.total() or (is_enough and not missing_slots(holding, capacity)):
            continue
        total_before = holding.total()
        if set_granted(holding, capacity, share.slots, share.assured):
            changed.add(name)
        missing -= total_before - holding.total()
    return changed


def _missing_lower_slots(ledger: CreditLedger, capacity: Capacity) -> int:
    return sum(
        max(0, lower_demand(each, capacity) - each.committed_below(capacity.most_urgent))
        for each in ledger.holdings.values()
    )


def recall_idle_slots(
    options: Options, now: float, ledger: CreditLedger, capacity: Capacity
) -> list[InstanceName]:
    """Recall one slot from each of the holders with the oldest demands, or none if too few.

    Their credit is probably idle, as holders with running attempts renew it. A holder that still
    runs an attempt on the slot continues the attempt and reports it in its answer.
    """
    holdings = ledger.holdings.values()
    needed = sum(missing_slots(each, capacity) for each in holdings)
    missing = max(
        needed - free_slots(ledger, capacity),
        _missing_lower_slots(ledger, capacity) - free_lower_slots(ledger, capacity),
    )
    received_before = now - options.credit_unheard_s
    names = [
        name
        for name, holding in ledger.holdings.items()
        if holding.received_at <= received_before and holding.total() and not holding.assured
    ]
    names.sort(key=lambda name: ledger.holdings[name].received_at)
    if not 0 < missing <= len(names):
        return []
    for name in names[:missing]:
        _recall_one_slot(ledger.holdings[name], capacity)
    return names[:missing]


def _recall_one_slot(holding: CreditHolding, capacity: Capacity) -> None:
    slots = dict(holding.granted)
    lowest = max(tier for tier, count in slots.items() if count)
    slots[lowest] -= 1
    set_granted(holding, capacity, {tier: count for tier, count in slots.items() if count}, {})


def _surplus(ledger: CreditLedger, shares: dict[InstanceName, Share], name: InstanceName) -> int:
    return ledger.holdings[name].total() - shares[name].total()


class _FreeSlots(Struct):
    """The slots that a settlement can still grant."""

    # Slots that no instance may be using, with or without a grant.
    slots: int
    # Slots that are not granted; some of them may be in use without a grant.
    ungranted: int
    # The part of `slots` that is open to tiers below the most urgent one.
    lower_slots: int


def raise_grants(
    ledger: CreditLedger, capacity: Capacity, shares: dict[InstanceName, Share]
) -> set[InstanceName]:
    """Raise grants below their share from the free slots; return the changed instances."""
    usable = sum(each.usable() for each in ledger.holdings.values())
    free = _FreeSlots(
        free_slots(ledger, capacity), capacity.slots - usable, free_lower_slots(ledger, capacity)
    )
    return {
        name
        for name in sorted(shares, key=lambda each: _urgency(ledger, shares, each))
        if _raise_grant(ledger.holdings[name], shares[name], free, capacity)
    }


def _raise_grant(
    holding: CreditHolding, share: Share, free: _FreeSlots, capacity: Capacity
) -> bool:
    """Raise one grant as far as possible and subtract it from the free slots."""
    if share.total() <= holding.total():
        return False
    most_urgent = capacity.most_urgent
    # Slots in use without a grant can be granted without taking free slots.
    committed, usable = holding.committed(), holding.usable()
    total = min(committed + max(0, free.slots), usable + max(0, free.ungranted))
    committed_lower = holding.committed_below(most_urgent)
    slots = _limited_share(share, total, committed_lower + max(0, free.lower_slots), most_urgent)
    if sum(slots.values()) <= holding.total():
        return False
    changed = set_granted(holding, capacity, slots, share.assured)
    free.slots -= holding.committed() - committed
    free.ungranted -= holding.usable() - usable
    free.lower_slots -= holding.committed_below(most_urgent) - committed_lower
    return changed


def _urgency(
    ledger: CreditLedger, shares: dict[InstanceName, Share], name: InstanceName
) -> tuple[int, float]:
    holding = ledger.holdings[name]
    short_tiers = [
        -1 if tier in shares[name].assured else tier
        for tier, slots in shares[name].slots.items()
        if slots > holding.granted.get(tier, 0)
    ]
    return (min(short_tiers, default=1 << 30), holding.used_s)


def _limited_share(share: Share, total: int, lower_total: int, most_urgent: int) -> dict[int, int]:
    """Return a share limited to a total, and to `lower_total` below the most urgent tier.

    Assured slots come first, then the most urgent tiers.
    """
    slots = {tier: min(count, total) for tier, count in share.assured.items()}
    left = total - sum(slots.values())
    lower_left = lower_total - sum(slots.values())
    for tier in sorted(share.slots):
        more = min(left, share.slots[tier] - slots.get(tier, 0))
        if tier != most_urgent:
            more = min(more, lower_left)
            lower_left -= max(0, more)
        if more > 0:
            slots[tier] = slots.get(tier, 0) + more
            left -= more
    return slots
