"""Counts of the requests that servers began, by customer and window of the time of day.

The windows are those of the platform's accounting. Each instance counts its own requests and sends
the counts to the instance that reports them (`duties.usage`). A request is counted once, when its
first server begins it: a streamed request at its first event, and a plain call at its send time,
once its end shows that it was not refused.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.request import Attempt, Request

# Minimum change of the time of day, against the runtime's clock, that is a step rather than drift.
_CLOCK_STEP_S: Final = 0.2
# Time after which a step is accepted as a correction of the clock.
_STEP_ACCEPT_S: Final = 20.0
# Maximum number of stored windows.
_WINDOWS_MAX: Final = 24


class UsageMeter(Struct):
    """The counts of this instance."""

    window_s: float
    # The time of day at zero of the runtime's clock; None if it was not read yet.
    wall_zero_s: float | None = None
    # Since when the time of day has differed by a step.
    stepped_since: float | None = None
    # Requests by window and customer.
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    # When a request was last counted, by the runtime's clock.
    changed_at: float = float("-inf")


def note_clock(meter: UsageMeter, now: float, wall_s: float) -> None:
    """Update the time of day, ignoring a step until it has lasted for a while.

    Prevents requests from being counted in windows that were already reported, if the clock of the
    machine jumps by seconds and back.
    """
    zero_s = wall_s - now
    if meter.wall_zero_s is None or abs(zero_s - meter.wall_zero_s) < _CLOCK_STEP_S:
        meter.wall_zero_s = zero_s
        meter.stepped_since = None
    elif meter.stepped_since is None:
        meter.stepped_since = now
    elif now - meter.stepped_since >= _STEP_ACCEPT_S:
        meter.wall_zero_s = zero_s
        meter.stepped_since = None


def window_at(meter: UsageMeter, clock_s: float) -> int | None:
    """Return the window of a time of the runtime's clock; None if the time of day is unknown."""
    if meter.wall_zero_s is None:
        return None
    return int((clock_s + meter.wall_zero_s) // meter.window_s)


def window_end(meter: UsageMeter, window: int) -> float:
    """Return the end of a window, by the runtime's clock."""
    assert meter.wall_zero_s is not None
    return (window + 1) * meter.window_s - meter.wall_zero_s


def note_begun(meter: UsageMeter, now: float, req: Request, attempt: Attempt) -> None:
    """Count a request that a server has begun, unless it was already counted."""
    if req.is_metered or not req.customer:
        return
    window = window_at(meter, now if req.kind is ServiceKind.MODEL else attempt.started_at)
    if window is None:
        return
    req.is_metered = True
    counts = meter.windows.setdefault(window, {})
    counts[req.customer] = counts.get(req.customer, 0) + 1
    meter.changed_at = now
    while len(meter.windows) > _WINDOWS_MAX:
        del meter.windows[min(meter.windows)]
