"""Questions about the tiers that the settings in force define."""

from __future__ import annotations

from turmericweir_core.config import Config


def most_urgent(config: Config) -> int:
    """Give the most urgent tier that is configured."""
    return min((each.priority for each in config.classes.values()), default=0)


def lowest_tier(config: Config) -> int:
    """Give the least urgent tier that is configured."""
    return max((each.priority for each in config.classes.values()), default=0)


def tier_shares(config: Config) -> dict[int, float]:
    """Give the assured share of each tier: the sum over its classes."""
    shares: dict[int, float] = {}
    for each in config.classes.values():
        shares[each.priority] = shares.get(each.priority, 0.0) + each.assured_share
    return shares
