"""The platform's bounds as a process can keep them.

A bound of 0, such as "at once", cannot be kept by any process; one that tries reads the store
without a pause, or believes no proof of its settings and serves nobody. Each bound is therefore
replaced by the closest value that can be kept, which `entry_daemon` logs and makes options of.
"""

from __future__ import annotations

from typing import Final

import msgspec

from turmericweir.process.entry_settings import BoundsSettings

_HOUR_MS: Final = 3_600_000.0
# The smallest and the largest value of each bound, in its own unit.
_LIMITS: Final[dict[str, tuple[float, float]]] = {
    "drain_ms": (500.0, _HOUR_MS),
    "settings_ms": (500.0, _HOUR_MS),
    "grace_s": (0.0, 86_400.0),
    "retry_ratio": (0.0, 1_000.0),
    "retry_window_s": (1.0, 3_600.0),
    "retry_burst": (0.0, 1_000_000.0),
}
# Leaves time for a read of the settings and its margin; see `entry_daemon.make_options`.
_REVOKE_MIN_MS: Final = 1_100.0


def usable_bounds(bounds: BoundsSettings) -> BoundsSettings:
    """Return the closest bounds that can be kept."""
    usable = {
        name: min(max(getattr(bounds, name), smallest), largest)
        for name, (smallest, largest) in _LIMITS.items()
    }
    # Without the strict form the bound is not used.
    if bounds.strict_revoke:
        usable["revoke_ms"] = min(max(bounds.revoke_ms, _REVOKE_MIN_MS), _HOUR_MS)
    return msgspec.structs.replace(bounds, **usable)


def adjusted_bounds(bounds: BoundsSettings) -> dict[str, tuple[float, float]]:
    """Return the bounds that cannot be kept: by name, the value given and the one used."""
    usable = usable_bounds(bounds)
    return {
        name: (getattr(bounds, name), getattr(usable, name))
        for name in (*_LIMITS, "revoke_ms")
        if getattr(bounds, name) != getattr(usable, name)
    }
