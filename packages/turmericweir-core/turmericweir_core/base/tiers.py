"""Questions about the tiers that the settings in force define."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace

from turmericweir_core.base.config import Config, ServiceClass


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


def rank_of(service_class: ServiceClass) -> int:
    """Give what servers schedule a class by; lower ranks go first."""
    rank = service_class.rank
    return service_class.priority if rank is None else rank


def with_ranks(classes: Iterable[ServiceClass], ranks: int) -> list[ServiceClass]:
    """Rank classes for servers that know so many ranks: by priority, and then by target.

    Failure where the priority alone decides: a customer's priority covers all that it sends, so a
    quick answer that is due in 0.4 s is read behind a long sheet that is due in 2 s. Within one
    priority the tighter target goes first, as far as there are ranks; priorities never mix.
    """
    found = list(classes)
    priorities = sorted({each.priority for each in found})
    # Each priority gets as many ranks; with more priorities than ranks the least urgent share one.
    width = max(1, ranks // max(1, len(priorities)))
    targets = {
        priority: sorted({each.target_s for each in found if each.priority == priority})
        for priority in priorities
    }
    ranked = []
    for each in found:
        place = targets[each.priority].index(each.target_s)
        within = place * width // len(targets[each.priority])
        rank = min(ranks - 1, priorities.index(each.priority) * width + within)
        ranked.append(replace(each, rank=rank))
    return ranked
