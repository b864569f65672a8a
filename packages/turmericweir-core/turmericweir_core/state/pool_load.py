"""How fast this instance's requests are served, by pool: what waits and admission are judged by.

A pool is the set of targets that share servers (see `queue_state`). For each pool this keeps what
runs by tier, the seconds that one running request takes for one unit of work, and the rate at which
work arrives by tier. While something waits, all the capacity that this instance can get is in use,
so the number that runs over the pace of each is the rate at which the backlog drains. Going by the
number that runs rather than by completions keeps an idle spell from looking like a slow pool.
"""

from __future__ import annotations

from math import exp

from msgspec import Struct, field

from turmericweir_core.base.options import Options


class ArrivalRate(Struct):
    """Work that arrives at one tier, averaged over a window that fades out."""

    # Faded sum of the work, as of `at`.
    work: float = 0.0
    at: float = 0.0


class PoolLoad(Struct):
    """What this instance runs in one pool, and how fast."""

    # Attempts in flight by tier.
    running: dict[int, int] = field(default_factory=dict)
    # Attempts that were told to make way for upper tiers and have not ended yet.
    displacing: int = 0
    # Seconds that one running request takes for one unit of work; None until one has ended.
    pace_s: float | None = None
    arrivals: dict[int, ArrivalRate] = field(default_factory=dict)


class PoolLoads(Struct):
    """The load of every pool, by its name."""

    by_pool: dict[str, PoolLoad] = field(default_factory=dict)


def pool_load(loads: PoolLoads, pool: str) -> PoolLoad:
    """Give the load of a pool, an empty one where nothing was run in it yet."""
    found = loads.by_pool.get(pool)
    if found is None:
        found = loads.by_pool[pool] = PoolLoad()
    return found


def note_arrival(load: PoolLoad, options: Options, now: float, tier: int, work: float) -> None:
    """Count work that arrived."""
    rate = load.arrivals.setdefault(tier, ArrivalRate(at=now))
    rate.work = rate.work * exp((rate.at - now) / options.arrival_window_s) + work
    rate.at = now


def arrival_rate(load: PoolLoad, options: Options, now: float, above: int) -> float:
    """Give the rate, work a second, at which work of tiers more urgent than one arrives."""
    total = 0.0
    for tier, rate in load.arrivals.items():
        if tier < above:
            total += rate.work * exp((rate.at - now) / options.arrival_window_s)
    return total / options.arrival_window_s


def note_start(load: PoolLoad, tier: int) -> None:
    """Count an attempt that begins."""
    load.running[tier] = load.running.get(tier, 0) + 1


def note_end(load: PoolLoad, tier: int) -> None:
    """Count an attempt that ended, whatever became of it."""
    load.running[tier] = max(0, load.running.get(tier, 0) - 1)


def note_pace(load: PoolLoad, options: Options, seconds: float, work: float) -> None:
    """Learn from an attempt that did this much work in so many seconds."""
    pace = seconds / max(1.0, work)
    if load.pace_s is None:
        load.pace_s = pace
    else:
        load.pace_s += options.pace_weight * (pace - load.pace_s)


def drain_rate(load: PoolLoad, idle_slots: float = 0.0) -> float | None:
    """Give the work a second that this instance gets done, or None while it is not known.

    With idle slots: what it would get done if these were used, too.
    """
    running = sum(load.running.values())
    if not load.pace_s or not running:
        return None
    return (running + idle_slots) / load.pace_s


def lower_running(load: PoolLoad, tier: int) -> bool:
    """Tell whether anything of a less urgent tier runs."""
    return any(count > 0 for each, count in load.running.items() if each > tier)
