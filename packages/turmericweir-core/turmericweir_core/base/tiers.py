"""Tiers and scheduling ranks that follow from the settings in force."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec.structs import force_setattr

from turmericweir_core.base.config import Config, ServiceClass, TierSummary


def most_urgent_configured_tier(config: Config) -> int:
    """Return the most urgent tier that is configured."""
    return _summary(config).most_urgent


def lowest_tier(config: Config) -> int:
    """Return the least urgent tier that is configured."""
    return _summary(config).lowest


def tier_shares(config: Config) -> dict[int, float]:
    """Return the assured share of each tier: the sum over its classes."""
    return dict(_summary(config).assured_shares)


def most_urgent_gap_target_s(config: Config) -> float | None:
    """Return the token gap target of the most urgent class that has one."""
    return _summary(config).gap_target_s


def _summary(config: Config) -> TierSummary:
    """Return the summary of the classes, derived once for each configuration."""
    summary = config.tier_summary
    if summary is None:
        summary = summarise_tiers(config.classes.values())
        force_setattr(config, "tier_summary", summary)
    return summary


def summarise_tiers(classes: Iterable[ServiceClass]) -> TierSummary:
    """Return what follows from all classes together."""
    shares: dict[int, float] = {}
    gap_targets: list[tuple[int, float]] = []
    for each in classes:
        shares[each.priority] = shares.get(each.priority, 0.0) + each.assured_share
        if each.token_gap_target_s is not None:
            gap_targets.append((each.priority, each.token_gap_target_s))
    return TierSummary(
        most_urgent=min(shares, default=0),
        lowest=max(shares, default=0),
        assured_shares=shares,
        gap_target_s=min(gap_targets)[1] if gap_targets else None,
    )


def scheduling_rank(service_class: ServiceClass) -> int:
    """Return the scheduling rank of a class at the servers; lower ranks go first."""
    rank = service_class.rank
    return service_class.priority if rank is None else rank


def assign_ranks(
    targets_by_priority: Mapping[int, Collection[float]], ranks: int
) -> dict[tuple[int, float], int]:
    """Return ranks from 0 to `ranks` - 1 by priority and target, in that order.

    Within one priority the shorter target goes first, which prevents a short request with a tight
    target from waiting behind the prefill of a long one. Ranks of different priorities mix only if
    there are more priorities than ranks.
    """
    # Each priority gets the same number of ranks; if there are too few, the least urgent share one.
    width = max(1, ranks // max(1, len(targets_by_priority)))
    rank_by_target: dict[tuple[int, float], int] = {}
    for index, priority in enumerate(sorted(targets_by_priority)):
        targets = sorted(set(targets_by_priority[priority]))
        for position, target_s in enumerate(targets):
            offset = position * width // len(targets)
            rank_by_target[priority, target_s] = min(ranks - 1, index * width + offset)
    return rank_by_target
