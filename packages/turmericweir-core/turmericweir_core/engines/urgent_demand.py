"""Estimate how much of the demand for engines is more urgent than a request.

The demand of all instances is known by kind of prompts only (`engine_pools`). The ranks of each
kind are taken to be mixed at the other instances as they are here.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import exp
from typing import TYPE_CHECKING

from turmericweir_core.base.ids import Target
from turmericweir_core.state.pool_state import RankDemand

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def record(
    state: State, now: float, target: Target, kind: str, rank: int, work_ms: float, window_s: float
) -> None:
    """Record the work of a new request under its rank, decayed over a window."""
    demand = state.pools.rank_demand.setdefault((target, kind), RankDemand(now))
    factor = exp((demand.decayed_at - now) / window_s)
    demand.by_rank = {other: factor * each for other, each in demand.by_rank.items()}
    demand.by_rank[rank] = demand.by_rank.get(rank, 0.0) + work_ms
    demand.decayed_at = now


def more_urgent_ms_s(
    state: State, target: Target, rank: int, demand_ms_s: Mapping[str, float]
) -> float:
    """Return the part of the demand of all instances, by kind, that is more urgent than a rank."""
    return sum(
        each_ms_s * _more_urgent_share(state, target, kind, rank)
        for kind, each_ms_s in demand_ms_s.items()
    )


def _more_urgent_share(state: State, target: Target, kind: str, rank: int) -> float:
    demand = state.pools.rank_demand.get((target, kind))
    total_ms = 0.0 if demand is None else sum(demand.by_rank.values())
    if demand is None or not total_ms:
        return 0.0
    return sum(each for other, each in demand.by_rank.items() if other < rank) / total_ms
