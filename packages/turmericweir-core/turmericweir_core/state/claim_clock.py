"""The clock of the `claims` stream, computed identically by all readers from its records.

Claims expire after a retention time, and all readers must agree when, so no reader may use its own
clock. Each record carries the wall clock of its writer. The stream's time is the second-highest of
the latest clocks of all instances. A single instance whose clock runs ahead therefore cannot expire
the claims of other instances, which would let their keys run twice. With only one instance the time
does not advance and nothing expires.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

# Number of instances whose clocks determine the stream time.
LEADING_CLOCKS: Final = 2


class StreamClock(Struct):
    """The two latest clocks, by instance, and the stream time derived from them."""

    latest_clocks: dict[str, int] = field(default_factory=dict)
    now_ms: int = 0


def note_clock(clock: StreamClock, instance: str, at_ms: int) -> None:
    """Update the stream time from the wall clock in a record."""
    leaders = clock.latest_clocks
    leaders[instance] = max(at_ms, leaders.get(instance, 0))
    if len(leaders) > LEADING_CLOCKS:
        del leaders[min(leaders, key=lambda name: (leaders[name], name))]
    if len(leaders) == LEADING_CLOCKS:
        clock.now_ms = max(clock.now_ms, min(leaders.values()))


def clocks_for_record(clock: StreamClock) -> tuple[tuple[str, int], ...]:
    """Return the leading clocks for a record, so that a new reader computes the same time."""
    return tuple(sorted(clock.latest_clocks.items()))
