"""Adapt how many requests a server is given at once, as a share of its slots.

A server's own number of slots is what it can hold, not what it can serve in time. Two rules:

- Plain services, by gradient: the long-term latency is set against the short-term one. While they
  agree the limit grows by its square root; when the newest calls take longer, the limit shrinks in
  proportion, down to a floor.
- Engines, against what the classes were promised: when the time between tokens or the time to the
  first token is over the target of the most urgent class that has one, the limit steps back by a
  factor, otherwise it grows slowly up to the slots.

The limit is for the server as a whole, not for this instance: it takes the place of the slots in
every policy. Only the instance's own observations count.
"""

from __future__ import annotations

from math import sqrt

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options


class ServerLimit(Struct):
    """The adaptive limit of one server."""

    # Share of the slots that is used.
    share: float = 1.0
    # Short-term and long-term latency of plain calls, seconds.
    short_s: float | None = None
    long_s: float | None = None
    # Averaged time to the first token of the most urgent class seen, over its target.
    first_token_ratio: float = 0.0
    # Calls or first tokens since the last adjustment: without any there is nothing to learn.
    fresh: int = 0
    adjust_due: float = 0.0


class LimitState(Struct):
    """The adaptive limits, by server."""

    by_server: dict[ServerName, ServerLimit] = field(default_factory=dict)


def limited_slots(state: LimitState, server: ServerName, slots: int) -> int:
    """Give the number of requests that a server with so many slots is given at once."""
    limit = state.by_server.get(server)
    if limit is None:
        return slots
    return max(1, round(slots * limit.share))


def _limit(state: LimitState, server: ServerName) -> ServerLimit:
    limit = state.by_server.get(server)
    if limit is None:
        limit = state.by_server[server] = ServerLimit()
    return limit


# --- plain services --------------------------------------------------------------------------


def note_latency(
    state: LimitState, options: Options, now: float, server: ServerName, slots: int, latency: float
) -> None:
    """Learn from a plain call that completed, and adjust where it is time."""
    limit = _limit(state, server)
    if limit.short_s is None or limit.long_s is None:
        limit.short_s = limit.long_s = latency
    limit.short_s += options.limit_short_weight * (latency - limit.short_s)
    limit.long_s += options.limit_long_weight * (latency - limit.long_s)
    # A long rush must not become the norm that later latencies are measured by.
    limit.long_s = min(limit.long_s, 2.0 * limit.short_s)
    limit.fresh += 1
    if now >= limit.adjust_due:
        limit.adjust_due = now + options.limit_adjust_s
        _follow_gradient(limit, options, slots, limit.short_s, limit.long_s)


def _follow_gradient(
    limit: ServerLimit, options: Options, slots: int, short: float, long: float
) -> None:
    gradient = min(1.0, max(0.5, options.limit_tolerance * long / max(short, 1e-6)))
    wanted = limit.share * slots
    grown = wanted * gradient + sqrt(wanted) * (gradient == 1.0)
    _set_share(limit, options, grown / slots)
    limit.fresh = 0


# --- engines ---------------------------------------------------------------------------------


def note_first_token(
    state: LimitState, options: Options, server: ServerName, waited: float, target_s: float
) -> None:
    """Learn from the time to the first token of an attempt, against its class's target."""
    limit = _limit(state, server)
    ratio = waited / max(target_s, 1e-6)
    limit.first_token_ratio += options.limit_short_weight * (ratio - limit.first_token_ratio)
    limit.fresh += 1


def adjust_engine(
    state: LimitState,
    options: Options,
    now: float,
    server: ServerName,
    gap_s: float,
    gap_target_s: float | None,
) -> None:
    """Step an engine's limit back or forth by what was promised."""
    limit = _limit(state, server)
    if now < limit.adjust_due:
        return
    limit.adjust_due = now + options.limit_adjust_s
    slow = gap_target_s is not None and gap_s > gap_target_s
    late = limit.fresh > 0 and limit.first_token_ratio > 1.0
    if slow or late:
        _set_share(limit, options, limit.share * options.limit_backoff)
    else:
        _set_share(limit, options, limit.share + options.limit_growth)
    if not limit.fresh:
        # Nothing began since the last time, so what was seen then says less and less.
        limit.first_token_ratio *= options.limit_backoff
    limit.fresh = 0


def _set_share(limit: ServerLimit, options: Options, share: float) -> None:
    limit.share = min(options.limit_max_share, max(options.limit_min_share, share))


def forget_server(state: LimitState, server: ServerName) -> None:
    """Begin afresh with a server that restarted or is gone."""
    state.by_server.pop(server, None)
