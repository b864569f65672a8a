"""Tiers and scheduling ranks that follow from the settings in force."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace

from turmericweir_core.base.config import Config, ServiceClass


def most_urgent_configured_tier(config: Config) -> int:
    """Return the most urgent tier that is configured."""
    return min((each.priority for each in config.classes.values()), default=0)


def lowest_tier(config: Config) -> int:
    """Return the least urgent tier that is configured."""
    return max((each.priority for each in config.classes.values()), default=0)


def tier_shares(config: Config) -> dict[int, float]:
    """Return the assured share of each tier: the sum over its classes."""
    shares: dict[int, float] = {}
    for service_class in config.classes.values():
        shares[service_class.priority] = (
            shares.get(service_class.priority, 0.0) + service_class.assured_share
        )
    return shares


def scheduling_rank(service_class: ServiceClass) -> int:
    """Return the scheduling rank of a class at the servers; lower ranks go first."""
    rank = service_class.rank
    return service_class.priority if rank is None else rank


def assign_ranks(classes: Iterable[ServiceClass], ranks: int) -> list[ServiceClass]:
    """Return the classes with ranks from 0 to `ranks` - 1, by priority and then by target.

    Within one priority the shorter target goes first, which prevents a short request with a tight
    target from waiting behind the prefill of a long one. Ranks of different priorities mix only if
    there are more priorities than ranks.
    """
    unranked = list(classes)
    priorities = sorted({service_class.priority for service_class in unranked})
    # Each priority gets the same number of ranks; if there are too few, the least urgent share one.
    width = max(1, ranks // max(1, len(priorities)))
    targets = {
        priority: sorted(
            {
                service_class.target_s
                for service_class in unranked
                if service_class.priority == priority
            }
        )
        for priority in priorities
    }
    ranked = []
    for service_class in unranked:
        position = targets[service_class.priority].index(service_class.target_s)
        offset = position * width // len(targets[service_class.priority])
        rank = min(ranks - 1, priorities.index(service_class.priority) * width + offset)
        ranked.append(replace(service_class, rank=rank))
    return ranked
