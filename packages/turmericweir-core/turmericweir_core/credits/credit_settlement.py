"""Divide one server's slots anew among all who hold or want credit there.

First credit is called back, the least urgent first, and it is given to others only when its holder
has confirmed that it saw the call-back and runs no more than what it was left. So the grants of one
dispatcher never add up to more than there is, whichever of its messages are lost or late. Where a
holder's lower work has to stop for somebody's upper work, it is told how much of it may stay.
"""

from __future__ import annotations

from math import exp

from msgspec import Struct

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.credits.credit_allocation import Capacity, Share, Want, allocate
from turmericweir_core.credits.credit_ledger import (
    free_below,
    free_slots,
    lower_wants,
    set_granted,
    short_of,
)
from turmericweir_core.state.credit_state import Holding, Ledger


def divide(options: Options, ledger: Ledger, capacity: Capacity) -> dict[InstanceName, Share]:
    """Work out what each instance is to have."""
    order = sorted(ledger.holdings, key=lambda name: _rank(options, ledger.holdings[name]))
    wants = [
        Want(name, each.tier, each.running, each.waiting)
        for name in order
        for each in ledger.holdings[name].demand.values()
        if each.running + each.waiting
    ]
    return allocate(capacity, order, wants, sorted(ledger.assured, reverse=True))


def _rank(options: Options, holding: Holding) -> tuple[int, bool, float]:
    """Order instances that are equal otherwise: who used least first, and no change for little."""
    turns = int(holding.used_s / options.credit_turn_s)
    return (turns, not holding.total(), holding.used_s)


def note_use(options: Options, now: float, ledger: Ledger) -> None:
    """Follow how much each instance used, so that slots go round among equals.

    Failure without it: one instance that always has work keeps the slot that it has, and another
    with the same class waits behind it for as long as that lasts.
    """
    for holding in ledger.holdings.values():
        note_use_of(options, now, holding)


def note_use_of(options: Options, now: float, holding: Holding) -> None:
    """Count what an instance ran since the last look, by what it said.

    Called before what it says changes. Failure otherwise: the first settlement in a long time takes
    whoever has just begun for one that ran all that time, and the others pass it by for a minute.
    """
    elapsed = now - holding.used_at
    holding.used_at = now
    holding.used_s *= exp(-elapsed / options.credit_use_window_s)
    holding.used_s += holding.running() * min(options.credit_use_window_s, elapsed)


def pressed_tiers(ledger: Ledger, capacity: Capacity) -> dict[int, int]:
    """Count by tier those that are named here alone and that no grant covers yet."""
    pressed: dict[int, int] = {}
    for holding in ledger.holdings.values():
        short = short_of(holding, capacity)
        for tier in sorted(holding.demand):
            count = min(short, holding.demand[tier].pressed)
            if count:
                pressed[tier] = pressed.get(tier, 0) + count
                short -= count
    return pressed


def spread_displacement(ledger: Ledger, pressed: dict[int, int]) -> set[InstanceName]:
    """Say who stops how many attempts, the least urgent first; give those for whom it changed."""
    changed: set[InstanceName] = set()
    above = min(pressed, default=0)
    told = 0
    for name in sorted(ledger.holdings, key=lambda name: -_lowest_running(ledger.holdings[name])):
        holding = ledger.holdings[name]
        lowest = _lowest_running(holding)
        wanted = sum(count for tier, count in pressed.items() if tier < lowest)
        displace = max(0, min(holding.running() - holding.total(), wanted - told))
        told += displace
        keep = holding.running() - displace if displace else None
        if keep != holding.keep:
            holding.keep = keep
            changed.add(name)
        holding.displace_above = above
    return changed


def _lowest_running(holding: Holding) -> int:
    return max((each.tier for each in holding.demand.values() if each.running), default=-1)


def call_back(
    ledger: Ledger, capacity: Capacity, shares: dict[InstanceName, Share]
) -> set[InstanceName]:
    """Lower the grants of those who have more than their share, where others need it."""
    holdings = ledger.holdings.values()
    need = sum(short_of(each, capacity) for each in holdings)
    lower_fits = _lower_need(ledger, capacity) <= free_below(ledger, capacity)
    # Called back from as few as will do, since each has to answer; those with the most first.
    missing = need - free_slots(ledger, capacity)
    changed: set[InstanceName] = set()
    for name in sorted(shares, key=lambda each: -_surplus(ledger, shares, each)):
        holding, share = ledger.holdings[name], shares[name]
        enough = missing <= 0 and lower_fits and not ledger.assured
        if share.total() > holding.total() or (enough and not short_of(holding, capacity)):
            continue
        before = holding.total()
        if set_granted(holding, capacity, share.slots, share.assured):
            changed.add(name)
        missing -= before - holding.total()
    return changed


def _lower_need(ledger: Ledger, capacity: Capacity) -> int:
    return sum(
        max(0, lower_wants(each, capacity) - each.committed_below(capacity.most_urgent))
        for each in ledger.holdings.values()
    )


def call_back_unheard(
    options: Options, now: float, ledger: Ledger, capacity: Capacity
) -> list[InstanceName]:
    """Call back a slot each from those not heard from for longest; none if that is too little.

    Their credit is idle most likely: a holder that runs something renews it, one that needs more
    asks. One that runs something all the same says so in its answer, and goes on running it.
    """
    holdings = ledger.holdings.values()
    need = sum(short_of(each, capacity) for each in holdings)
    missing = max(
        need - free_slots(ledger, capacity),
        _lower_need(ledger, capacity) - free_below(ledger, capacity),
    )
    heard_before = now - options.credit_unheard_s
    names = [
        name
        for name, holding in ledger.holdings.items()
        if holding.heard_at <= heard_before and holding.total() and not holding.assured
    ]
    names.sort(key=lambda name: ledger.holdings[name].heard_at)
    if not 0 < missing <= len(names):
        return []
    for name in names[:missing]:
        _take_one(ledger.holdings[name], capacity)
    return names[:missing]


def _take_one(holding: Holding, capacity: Capacity) -> None:
    slots = dict(holding.granted)
    lowest = max(tier for tier, count in slots.items() if count)
    slots[lowest] -= 1
    set_granted(holding, capacity, {tier: count for tier, count in slots.items() if count}, {})


def _surplus(ledger: Ledger, shares: dict[InstanceName, Share], name: InstanceName) -> int:
    return ledger.holdings[name].total() - shares[name].total()


class _Free(Struct):
    """What a settlement has left to give."""

    # Slots that nobody may be using, with or without a grant.
    slots: int
    # Slots that nobody was granted: fewer are in use than that while some run without a grant.
    grants: int
    # Of the former, what tiers below the most urgent one may have.
    below: int


def raise_grants(
    ledger: Ledger, capacity: Capacity, shares: dict[InstanceName, Share]
) -> set[InstanceName]:
    """Raise the grants of those who have less than their share by what is free by now."""
    usable = sum(each.usable() for each in ledger.holdings.values())
    free = _Free(
        free_slots(ledger, capacity), capacity.slots - usable, free_below(ledger, capacity)
    )
    return {
        name
        for name in sorted(shares, key=lambda each: _urgency(ledger, shares, each))
        if _raise_one(ledger.holdings[name], shares[name], free, capacity)
    }


def _raise_one(holding: Holding, share: Share, free: _Free, capacity: Capacity) -> bool:
    """Raise one grant as far as may be, and take it off what is free."""
    if share.total() <= holding.total():
        return False
    urgent = capacity.most_urgent
    # What it runs already costs nothing to be granted, so long as grants are left at all.
    committed, usable = holding.committed(), holding.usable()
    total = min(committed + max(0, free.slots), usable + max(0, free.grants))
    below = holding.committed_below(urgent)
    slots = _first_slots(share, total, below + max(0, free.below), urgent)
    if sum(slots.values()) <= holding.total():
        return False
    changed = set_granted(holding, capacity, slots, share.assured)
    free.slots -= holding.committed() - committed
    free.grants -= holding.usable() - usable
    free.below -= holding.committed_below(urgent) - below
    return changed


def _urgency(
    ledger: Ledger, shares: dict[InstanceName, Share], name: InstanceName
) -> tuple[int, float]:
    holding = ledger.holdings[name]
    short = [
        -1 if tier in shares[name].assured else tier
        for tier, slots in shares[name].slots.items()
        if slots > holding.granted.get(tier, 0)
    ]
    return (min(short, default=1 << 30), holding.used_s)


def _first_slots(share: Share, total: int, below: int, urgent: int) -> dict[int, int]:
    """Cut a share to a total, and to another one below the most urgent tier.

    The assured slots come first, then the most urgent tiers.
    """
    slots = {tier: min(count, total) for tier, count in share.assured.items()}
    left = total - sum(slots.values())
    left_below = below - sum(slots.values())
    for tier in sorted(share.slots):
        more = min(left, share.slots[tier] - slots.get(tier, 0))
        if tier != urgent:
            more = min(more, left_below)
            left_below -= max(0, more)
        if more > 0:
            slots[tier] = slots.get(tier, 0) + more
            left -= more
    return slots
