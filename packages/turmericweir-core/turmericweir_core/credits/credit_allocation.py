"""Divide one server's slots among instances: a pure function of the capacity and the demand.

The order: one slot for each tier whose assured turn it is; then tier by tier, the most urgent
first, max-min fair among the instances of a tier; then what is left over, as spare slots for
whichever request comes first. A spare slot is granted at the lowest tier, since an upper tier may
use a lower one's slot but not the other way round.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName


class Want(Struct, frozen=True):
    """What one instance could use at one tier."""

    instance: InstanceName
    tier: int
    running: int
    waiting: int

    @property
    def slots(self) -> int:
        """Count the slots that it could use."""
        return self.running + self.waiting


class Share(Struct):
    """What one instance is to have."""

    slots: dict[int, int] = field(default_factory=dict)
    assured: dict[int, int] = field(default_factory=dict)

    def total(self) -> int:
        """Sum the slots over all tiers."""
        return sum(self.slots.values())

    def add(self, tier: int, slots: int) -> None:
        """Add slots at a tier."""
        if slots:
            self.slots[tier] = self.slots.get(tier, 0) + slots


class Capacity(Struct, frozen=True):
    """What there is to divide."""

    slots: int
    # Slots that tiers other than the most urgent one may have together.
    lower_slots: int
    # Spare slots for one instance at the most.
    spare: int
    most_urgent: int
    lowest: int
    # Slots are for the tier that they were granted for, or more urgent ones.
    by_tier: bool = False
    # Instances that are likely to use the server.
    sharing: int = 1


def allocate(
    capacity: Capacity, instances: list[InstanceName], wants: list[Want], assured: Iterable[int]
) -> dict[InstanceName, Share]:
    """Divide the slots; earlier instances come first where something does not divide evenly."""
    shares = {name: Share() for name in instances}
    free = capacity.slots
    lower_free = capacity.lower_slots
    by_tier: dict[int, list[Want]] = {}
    for want in wants:
        # One that wants nothing must not be assured the slot of its tier.
        if want.slots:
            by_tier.setdefault(want.tier, []).append(want)
    for tier in assured:
        if free > 0 and by_tier.get(tier):
            _assure(shares, by_tier[tier], tier)
            free -= 1
            lower_free -= 1
    for tier in sorted(by_tier):
        usable = free if tier == capacity.most_urgent else min(free, lower_free)
        used = _fill_tier(shares, by_tier[tier], tier, max(0, usable))
        free -= used
        if tier != capacity.most_urgent:
            lower_free -= used
    _spread_spare(shares, capacity, min(free, max(0, lower_free)))
    return shares


def _assure(shares: dict[InstanceName, Share], wants: list[Want], tier: int) -> None:
    # Whoever runs one already keeps it: taking it away would waste what was done.
    chosen = max(wants, key=lambda want: want.running)
    share = shares[chosen.instance]
    share.add(tier, 1)
    share.assured[tier] = share.assured.get(tier, 0) + 1


def _fill_tier(shares: dict[InstanceName, Share], wants: list[Want], tier: int, free: int) -> int:
    """Give the instances of a tier their max-min fair part; return the slots used.

    Every one gets what it wants up to a common level; what does not make up a whole level goes to
    those in front.
    """
    missing = [
        (want.instance, want.slots - shares[want.instance].slots.get(tier, 0)) for want in wants
    ]
    level = _common_level([slots for _, slots in missing], free)
    left = free
    for instance, slots in missing:
        part = min(slots, level)
        shares[instance].add(tier, part)
        left -= part
    for instance, slots in missing:
        if left > 0 and slots > level:
            shares[instance].add(tier, 1)
            left -= 1
    return free - left


def _common_level(slots: list[int], free: int) -> int:
    """Give the highest level up to which all can have what they want."""
    level = 0
    left = free
    ascending = sorted(slots)
    for position, each in enumerate(ascending):
        sharers = len(ascending) - position
        step = min(each - level, left // sharers)
        level += step
        left -= step * sharers
        if level < each:
            return level
    return level


def _spread_spare(shares: dict[InstanceName, Share], capacity: Capacity, free: int) -> None:
    """Grant idle slots in advance, so that the next request needs no message."""
    left = free
    remaining = len(shares)
    for share in shares.values():
        part = min(capacity.spare, left // remaining)
        share.add(capacity.lowest, part)
        left -= part
        remaining -= 1
