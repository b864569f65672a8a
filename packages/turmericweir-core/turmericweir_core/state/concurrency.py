"""Adaptive limits on the requests that a server is given at once, as a share of its slots.

The slots of a server are the number of requests that it can hold, which may be more than it can
serve in time. Two rules:

- Plain services use a gradient of latencies: the long-term average is compared with the short-term
  one. While they agree, the limit grows by its square root; when recent calls take longer, it
  shrinks in proportion, down to a floor.
- Engines use the targets of the service classes: when the time between tokens or the time to the
  first token exceeds the target of the most urgent class that has one, the limit is reduced by a
  factor; otherwise it grows slowly up to the slots.

The limit applies to the server as a whole, not to this instance's part of it: it replaces the slots
in every policy. It is computed only from this instance's observations.
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
    # Averaged ratio of the time to the first token to its target, for the most urgent class.
    first_token_ratio: float = 0.0
    # Calls or first tokens observed since the last adjustment.
    new_samples: int = 0
    next_adjustment_at: float = 0.0


class ConcurrencyLimits(Struct):
    """The adaptive limits, by server."""

    by_server: dict[ServerName, ServerLimit] = field(default_factory=dict)


def limited_slots(state: ConcurrencyLimits, server: ServerName, slots: int) -> int:
    """Return how many requests a server with this number of slots may be given at once."""
    limit = state.by_server.get(server)
    if limit is None:
        return slots
    return max(1, round(slots * limit.share))


def _get_or_create_limit(state: ConcurrencyLimits, server: ServerName) -> ServerLimit:
    limit = state.by_server.get(server)
    if limit is None:
        limit = state.by_server[server] = ServerLimit()
    return limit


# --- plain services --------------------------------------------------------------------------


def note_latency(
    state: ConcurrencyLimits,
    options: Options,
    now: float,
    server: ServerName,
    slots: int,
    latency_s: float,
) -> None:
    """Record the latency of a completed plain call and adjust the limit if it is time to."""
    limit = _get_or_create_limit(state, server)
    if limit.short_s is None or limit.long_s is None:
        limit.short_s = limit.long_s = latency_s
    limit.short_s += options.limit_short_weight * (latency_s - limit.short_s)
    limit.long_s += options.limit_long_weight * (latency_s - limit.long_s)
    # Prevents a long peak load from becoming the baseline for later latencies.
    limit.long_s = min(limit.long_s, 2.0 * limit.short_s)
    limit.new_samples += 1
    if now >= limit.next_adjustment_at:
        limit.next_adjustment_at = now + options.limit_adjust_s
        _adjust_by_gradient(limit, options, slots, limit.short_s, limit.long_s)


def _adjust_by_gradient(
    limit: ServerLimit, options: Options, slots: int, short_s: float, long_s: float
) -> None:
    gradient = min(1.0, max(0.5, options.limit_tolerance * long_s / max(short_s, 1e-6)))
    old_limit = limit.share * slots
    new_limit = old_limit * gradient + sqrt(old_limit) * (gradient == 1.0)
    _set_share(limit, options, new_limit / slots)
    limit.new_samples = 0


# --- engines ---------------------------------------------------------------------------------


def note_first_token(
    state: ConcurrencyLimits, options: Options, server: ServerName, waited: float, target_s: float
) -> None:
    """Record the time to the first token of an attempt relative to the target of its class."""
    limit = _get_or_create_limit(state, server)
    ratio = waited / max(target_s, 1e-6)
    limit.first_token_ratio += options.limit_short_weight * (ratio - limit.first_token_ratio)
    limit.new_samples += 1


def adjust_engine(
    state: ConcurrencyLimits,
    options: Options,
    now: float,
    server: ServerName,
    gap_s: float,
    gap_target_s: float | None,
) -> None:
    """Raise or lower the limit of an engine according to the targets of the classes."""
    limit = _get_or_create_limit(state, server)
    if now < limit.next_adjustment_at:
        return
    limit.next_adjustment_at = now + options.limit_adjust_s
    is_gap_slow = gap_target_s is not None and gap_s > gap_target_s
    is_first_token_slow = limit.new_samples > 0 and limit.first_token_ratio > 1.0
    if is_gap_slow or is_first_token_slow:
        _set_share(limit, options, limit.share * options.limit_backoff)
    else:
        _set_share(limit, options, limit.share + options.limit_growth)
    if not limit.new_samples:
        # No answer began since the last adjustment: decay the old ratio.
        limit.first_token_ratio *= options.limit_backoff
    limit.new_samples = 0


def _set_share(limit: ServerLimit, options: Options, share: float) -> None:
    limit.share = min(options.limit_max_share, max(options.limit_min_share, share))


def forget_server(state: ConcurrencyLimits, server: ServerName) -> None:
    """Discard the limit of a server that restarted or is gone."""
    state.by_server.pop(server, None)
