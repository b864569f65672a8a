"""Intervals for reading the platform's store, derived from the platform's time bounds.

The bounds are the time in which new settings must be in force and the time after which a leaving
server must get no new requests. Reads are paid for, and are therefore as rare as the bounds allow.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Shares of a bound: the time between two reads, and the spread between the first and the last
# instance that falls back to reading by itself. Together with the propagation time they stay below
# 1, which keeps the bound even if the reader dies just after a change.
_SETTINGS_READ_SHARE: Final = 0.35
_SETTINGS_SPREAD_SHARE: Final = 0.15
_SERVERS_READ_SHARE: Final = 0.45
_SERVERS_SPREAD_SHARE: Final = 0.2
# Upper bound of the read interval. Rarer reads would save little, as entries are outdated by then.
_SERVERS_READ_MAX_S: Final = 1.6
# Propagation time: two requests to peers, one of them lost; and one datagram.
_SETTINGS_PROPAGATION_S: Final = 0.9
_SERVERS_PROPAGATION_S: Final = 0.25
# Maximum age of the proof of the settings for denying a caller: a share of the bound, and a lower
# limit.
_DENY_PROOF_SHARE: Final = 0.8
_DENY_PROOF_MIN_S: Final = 2.5


class StoreTimes(Struct, frozen=True):
    """Times for reading the store, seconds."""

    # Time between two reads of the settings by a reader; a read proves that they are the newest.
    settings_read_s: float = 0.7
    # Age of the proof at which the first instance reads by itself, and the time from the first such
    # instance to the last.
    settings_fallback_s: float = 1.6
    settings_fallback_spread_s: float = 0.3
    # The same for the entries of servers.
    servers_read_s: float = 0.9
    servers_fallback_s: float = 1.15
    servers_fallback_spread_s: float = 0.4
    # Callers are denied only by settings with a proof that is not older than this.
    deny_proof_max_age_s: float = 2.5


def derive_store_times(settings_bound_s: float, drain_bound_s: float) -> StoreTimes:
    """Return the times for the given bounds on settings and on leaving servers."""
    settings_read_s = _SETTINGS_READ_SHARE * settings_bound_s
    servers_read_s = min(_SERVERS_READ_MAX_S, _SERVERS_READ_SHARE * drain_bound_s)
    return StoreTimes(
        settings_read_s=settings_read_s,
        settings_fallback_s=settings_read_s + _SETTINGS_PROPAGATION_S,
        settings_fallback_spread_s=_SETTINGS_SPREAD_SHARE * settings_bound_s,
        servers_read_s=servers_read_s,
        servers_fallback_s=servers_read_s + _SERVERS_PROPAGATION_S,
        servers_fallback_spread_s=_SERVERS_SPREAD_SHARE * drain_bound_s,
        deny_proof_max_age_s=max(_DENY_PROOF_MIN_S, _DENY_PROOF_SHARE * settings_bound_s),
    )
