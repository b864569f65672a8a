"""Divide one server's slots among instances: a pure function of the capacity and the demand.

Slots are allocated in this order: one for each tier with an assured slot; then tier by tier, the
most urgent first, max-min fair among the instances of a tier; then the rest as spare slots. A spare
slot is granted at the lowest tier, since upper tiers may use slots of lower tiers but not vice
versa.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName


class Want(Struct, frozen=True):
    """The demand of one instance at one tier."""

    instance: InstanceName
    tier: int
    running: int
    waiting: int

    @property
    def slots(self) -> int:
        """Return the number of slots that the instance could use."""
        return self.running + self.waiting


class Share(Struct):
    """The slots allocated to one instance, by tier."""

    slots: dict[int, int] = field(default_factory=dict)
    assured: dict[int, int] = field(default_factory=dict)

    def total(self) -> int:
        """Return the sum of slots over all tiers."""
        return sum(self.slots.values())

    def add(self, tier: int, slots: int) -> None:
        """Add slots at a tier."""
        if slots:
            self.slots[tier] = self.slots.get(tier, 0) + slots


class Capacity(Struct, frozen=True):
    """The slots of a server and the rules for dividing them."""

    slots: int
    # Maximum for all tiers below the most urgent one together.
    lower_slots: int
    # Maximum number of spare slots per instance.
    spare: int
    most_urgent: int
    lowest: int
    # A slot may be used only by the tier it was granted for and by more urgent ones.
    is_tier_bound: bool = False
    # Instances that are likely to use the server.
    sharing: int = 1


def allocate(
    capacity: Capacity, instances: list[InstanceName], wants: list[Want], assured: Iterable[int]
) -> dict[InstanceName, Share]:
    """Divide the slots; any remainder goes to the instances that are listed first."""
    shares = {name: Share() for name in instances}
    free = capacity.slots
    lower_free = capacity.lower_slots
    by_tier: dict[int, list[Want]] = {}
    for want in wants:
        # Prevents an instance without demand from getting the assured slot of a tier.
        if want.slots:
            by_tier.setdefault(want.tier, []).append(want)
    for tier in assured:
        if free > 0 and by_tier.get(tier):
            _allocate_assured(shares, by_tier[tier], tier)
            free -= 1
            lower_free -= 1
    for tier in sorted(by_tier):
        usable = free if tier == capacity.most_urgent else min(free, lower_free)
        used = _fill_tier(shares, by_tier[tier], tier, max(0, usable))
        free -= used
        if tier != capacity.most_urgent:
            lower_free -= used
    _allocate_spare(shares, capacity, min(free, max(0, lower_free)))
    return shares


def _allocate_assured(shares: dict[InstanceName, Share], wants: list[Want], tier: int) -> None:
    # Prefers an instance that already runs attempts of the tier: stopping them wastes their work.
    chosen = max(wants, key=lambda want: want.running)
    share = shares[chosen.instance]
    share.add(tier, 1)
    share.assured[tier] = share.assured.get(tier, 0) + 1


def _fill_tier(shares: dict[InstanceName, Share], wants: list[Want], tier: int, free: int) -> int:
    """Allocate max-min fair shares to the instances of a tier; return the number of slots used.

    Each instance gets its demand up to a common level; the remainder goes to the first instances.
    """
    missing = [
        (want.instance, want.slots - shares[want.instance].slots.get(tier, 0)) for want in wants
    ]
    level = _common_level([slots for _, slots in missing], free)
    left = free
    for instance, slots in missing:
        filled = min(slots, level)
        shares[instance].add(tier, filled)
        left -= filled
    for instance, slots in missing:
        if left > 0 and slots > level:
            shares[instance].add(tier, 1)
            left -= 1
    return free - left


def _common_level(slots: list[int], free: int) -> int:
    """Return the highest common level up to which all demands can be met."""
    level = 0
    left = free
    ascending = sorted(slots)
    for position, wanted in enumerate(ascending):
        sharers = len(ascending) - position
        step = min(wanted - level, left // sharers)
        level += step
        left -= step * sharers
        if level < wanted:
            return level
    return level


def _allocate_spare(shares: dict[InstanceName, Share], capacity: Capacity, free: int) -> None:
    """Grant idle slots in advance to save a message for the next request."""
    left = free
    remaining_instances = len(shares)
    for share in shares.values():
        spare = min(capacity.spare, left // remaining_instances)
        share.add(capacity.lowest, spare)
        left -= spare
        remaining_instances -= 1
