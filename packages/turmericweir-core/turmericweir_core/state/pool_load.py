"""How fast this instance's requests are served, by pool, for admission and queue estimates.

A pool is the set of targets that share servers (see `queue_state`). For each pool this module
records the running attempts by tier, the seconds that one running request takes per unit of work,
and the rate at which work arrives by tier. While requests wait, all capacity available to this
instance is in use, so the backlog drains at the number of running requests over the time per unit
of work. This is not derived from the rate of completions, because an idle pool would look slow.
"""

from __future__ import annotations

from math import exp

from msgspec import Struct, field

from turmericweir_core.base.options import Options


class ArrivalRate(Struct):
    """Work that arrives at one tier, averaged with exponential decay."""

    # Decayed sum of the work, as of `updated_at`.
    work: float = 0.0
    updated_at: float = 0.0


class PoolLoad(Struct):
    """Running attempts and speed of one pool."""

    # Attempts in flight by tier.
    running: dict[int, int] = field(default_factory=dict)
    # Attempts that are being displaced by more urgent tiers and have not ended yet.
    displacing: int = 0
    # Seconds that one running request takes per unit of work; None until one has ended.
    pace_s: float | None = None
    arrivals: dict[int, ArrivalRate] = field(default_factory=dict)


class PoolLoads(Struct):
    """The load of all pools, by name."""

    by_pool: dict[str, PoolLoad] = field(default_factory=dict)


def pool_load(loads: PoolLoads, pool: str) -> PoolLoad:
    """Return the load of a pool, creating an empty one if necessary."""
    load = loads.by_pool.get(pool)
    if load is None:
        load = loads.by_pool[pool] = PoolLoad()
    return load


def note_arrival(load: PoolLoad, options: Options, now: float, tier: int, work: float) -> None:
    """Record the arrival of work."""
    rate = load.arrivals.setdefault(tier, ArrivalRate(updated_at=now))
    rate.work = rate.work * exp((rate.updated_at - now) / options.arrival_window_s) + work
    rate.updated_at = now


def arrival_rate(load: PoolLoad, options: Options, now: float, above: int) -> float:
    """Return the work per second that arrives for tiers more urgent than tier `above`."""
    total = 0.0
    for tier, rate in load.arrivals.items():
        if tier < above:
            total += rate.work * exp((rate.updated_at - now) / options.arrival_window_s)
    return total / options.arrival_window_s


def note_start(load: PoolLoad, tier: int) -> None:
    """Record the start of an attempt."""
    load.running[tier] = load.running.get(tier, 0) + 1


def note_end(load: PoolLoad, tier: int) -> None:
    """Record the end of an attempt, successful or not."""
    load.running[tier] = max(0, load.running.get(tier, 0) - 1)


def note_pace(load: PoolLoad, options: Options, seconds: float, work: float) -> None:
    """Update the pace with an attempt that did `work` in this number of seconds."""
    pace = seconds / max(1.0, work)
    if load.pace_s is None:
        load.pace_s = pace
    else:
        load.pace_s += options.pace_weight * (pace - load.pace_s)


def drain_rate(load: PoolLoad, idle_slots: float = 0.0) -> float | None:
    """Return the work per second that this instance completes, or None while unknown.

    With idle slots, return the rate that would be reached if these were used as well.
    """
    running = sum(load.running.values())
    if not load.pace_s or not running:
        return None
    return (running + idle_slots) / load.pace_s


def is_lower_tier_running(load: PoolLoad, tier: int) -> bool:
    """Return whether an attempt of a less urgent tier is running."""
    return any(count > 0 for other, count in load.running.items() if other > tier)
