"""Decide what a stopping instance may still pass on to servers.

A request that is passed on and not answered before the process ends is lost: its caller gets no
answer, and one that must run once cannot be repeated. One that is refused before it is passed on
is served by another instance at the cost of a connection. So the time left bounds what is passed
on: requests whose deadline comes first, and those of classes whose answers take less.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.request import Request
from turmericweir_core.state import answer_times

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time reserved between the end of the last answer and the end of the process, for the last write.
_STOP_MARGIN_S: Final = 0.3


class StopCutoff(Struct, frozen=True):
    """What bounds the requests that may be passed on while this instance stops."""

    # When the last answer has to end.
    end_at: float
    # Whether requests of classes without any complete answer are passed on.
    takes_unknown: bool
    # For how long the oldest running attempt of each class has run.
    running_s: dict[str, float]


def stop_cutoff(state: State, now: float) -> StopCutoff | None:
    """Return the bounds, or None if this instance is not stopping or may take any time to."""
    stopping_since, options = state.stopping_since, state.options
    if stopping_since is None or options.stop_limit_s == float("inf"):
        return None
    running_s: dict[str, float] = {}
    for req in state.requests.values():
        if req.attempt is not None:
            name = req.service_class.name
            running_s[name] = max(running_s.get(name, 0.0), now - req.attempt.started_at)
    end_at = stopping_since + options.stop_limit_s - _STOP_MARGIN_S
    return StopCutoff(end_at, now - stopping_since <= options.stop_grace_s, running_s)


def ends_in_time(cutoff: StopCutoff, req: Request) -> bool:
    """Return whether a request certainly ends before the process does."""
    return req.end_by is not None and req.end_by <= cutoff.end_at


def can_pass_on(state: State, now: float, cutoff: StopCutoff | None, req: Request) -> bool:
    """Return whether an attempt that starts now is expected to end before the process does."""
    if cutoff is None or ends_in_time(cutoff, req):
        return True
    name = req.service_class.name
    estimate_s = answer_times.longest_s(state.answer_times, name)
    if estimate_s is None:
        return cutoff.takes_unknown
    # Servers may have slowed down since.
    return now + max(estimate_s, cutoff.running_s.get(name, 0.0)) <= cutoff.end_at
