"""The time of the `claims` stream, which all readers compute alike from its records.

Claims expire after a retention, and every reader must agree when, so no reader's own clock may
count. Each record brings its writer's wall clock. The time of the stream is the second latest of
the latest clocks of all instances: one instance whose clock runs far ahead can't make the claims
of the others expire, which would let their keys run a second time. With a single instance the time
stands still and nothing expires.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

# How many instances' clocks decide.
LEADERS: Final = 2


class StreamClock(Struct):
    """The two latest clocks seen, by instance, and the time that follows from them."""

    leaders: dict[str, int] = field(default_factory=dict)
    now_ms: int = 0


def note_clock(clock: StreamClock, instance: str, at_ms: int) -> None:
    """Take the wall clock of an instance from a record."""
    leaders = clock.leaders
    leaders[instance] = max(at_ms, leaders.get(instance, 0))
    if len(leaders) > LEADERS:
        del leaders[min(leaders, key=lambda name: (leaders[name], name))]
    if len(leaders) == LEADERS:
        clock.now_ms = max(clock.now_ms, min(leaders.values()))


def told_clocks(clock: StreamClock) -> tuple[tuple[str, int], ...]:
    """List the leading clocks for a record, so that a new reader's time agrees with others'."""
    return tuple(sorted(clock.leaders.items()))
