"""How often the platform's store is read, and how late the others may hear of it.

All of it follows from two bounds that the platform sets: the time in which settings must be in
force, and the time after which a server that leaves gets no new requests. The fewer reads, the
better: each one is paid for.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Parts of a bound: between two reads, and what lies between the first and the last instance that
# reads for itself because nobody told it. Together with the time to hear of a read they stay below
# the whole, so a change is in force in time even if whoever reads for all dies just after it.
_SETTINGS_READ_SHARE: Final = 0.35
_SETTINGS_SPREAD_SHARE: Final = 0.15
_SERVERS_READ_SHARE: Final = 0.45
_SERVERS_SPREAD_SHARE: Final = 0.2
# More seldom than this is not worth it: what a read tells is old by then.
_SERVERS_READ_MAX_S: Final = 1.6
# Two askings of peers, one answer lost; and one datagram.
_SETTINGS_HEARD_S: Final = 0.9
_SERVERS_HEARD_S: Final = 0.25
# Settings in force are doubted after so much of the bound, and not before the least.
_DENY_SHARE: Final = 0.8
_DENY_MIN_S: Final = 2.5


class StoreTimes(Struct, frozen=True):
    """Times of reading the store, seconds."""

    # Between two reads of the settings by a reader; a read proves that they are the newest.
    settings_read_s: float = 0.7
    # A proof this old has the first instance read for itself, and the last one so much later.
    settings_late_s: float = 1.6
    settings_spread_s: float = 0.3
    # The same for the servers' entries.
    servers_read_s: float = 0.9
    servers_late_s: float = 1.15
    servers_spread_s: float = 0.4
    # A caller is only denied by settings that were proven so lately.
    deny_proof_s: float = 2.5


def store_times(settings_bound_s: float, drain_bound_s: float) -> StoreTimes:
    """Derive the times from the bounds on settings and on servers that leave, seconds."""
    settings_read_s = _SETTINGS_READ_SHARE * settings_bound_s
    servers_read_s = min(_SERVERS_READ_MAX_S, _SERVERS_READ_SHARE * drain_bound_s)
    return StoreTimes(
        settings_read_s=settings_read_s,
        settings_late_s=settings_read_s + _SETTINGS_HEARD_S,
        settings_spread_s=_SETTINGS_SPREAD_SHARE * settings_bound_s,
        servers_read_s=servers_read_s,
        servers_late_s=servers_read_s + _SERVERS_HEARD_S,
        servers_spread_s=_SERVERS_SPREAD_SHARE * drain_bound_s,
        deny_proof_s=max(_DENY_MIN_S, _DENY_SHARE * settings_bound_s),
    )
