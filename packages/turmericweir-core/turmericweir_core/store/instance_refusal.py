"""Refuse what this instance cannot serve though others may, and say when to come back.

`lifecycle` asks here before anything else is looked at. These refusals say nothing of the load or
of the request: the instance has no settings yet, has no proof that keys are still good, or stops.
Whoever is refused comes back over a new connection, which the balancer gives to another instance.
So the pause is for the others to be able to serve it, and where they can now there is none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.membership import membership
from turmericweir_core.store import document

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Another instance can serve the caller now. With a pause of a second the caller of a quick answer
# is late wherever it goes then, and one with a second to its deadline is not served at all.
_AT_ONCE_S: Final = 0.0
# A process has the settings some 50 ms after its start; all may have started together.
_STARTING_S: Final = 0.2
# The whole data centre is without a proof; whoever mends that takes seconds rather than less.
_CUT_OFF_S: Final = 1.0
# An answer has to have ended so long before a stopping process ends: ticks and the last write.
_STOP_MARGIN_S: Final = 0.3


def reason_to_refuse(state: State, now: float, req: Request) -> Reason | None:
    """Tell why this instance cannot serve a request, or None where it can."""
    if not state.has_settings:
        return Reason.NO_SETTINGS
    if not document.may_serve_key(state, now, req):
        return Reason.KEY_UNPROVEN
    if _stops_too_soon(state, now, req):
        return Reason.STOPPING
    return None


def _stops_too_soon(state: State, now: float, req: Request) -> bool:
    """Tell whether an answer might not end before this process does.

    Callers use a connection that was idle when the stop began for as long as nobody tells them to
    close it. What certainly ends in time is served, and its answer tells them: refused, each of
    them would come back late or not at all.
    """
    stopping, options = state.stopping_since, state.options
    if stopping is None or now - stopping <= options.stop_grace_s:
        return False
    if req.end_by is None or options.stop_limit_s == float("inf"):
        # It may run for any time, and so would the stop.
        return True
    return req.end_by > stopping + options.stop_limit_s - _STOP_MARGIN_S


def come_back_s(state: State, now: float, reason: Reason) -> float:
    """Give after what time a caller that was refused should come back, seconds."""
    match reason:
        case Reason.STOPPING:
            return _AT_ONCE_S
        case Reason.KEY_UNPROVEN if _is_alone(state, now):
            return _AT_ONCE_S
        case Reason.KEY_UNPROVEN:
            return _CUT_OFF_S
        case _:
            return _STARTING_S


def _is_alone(state: State, now: float) -> bool:
    """Tell whether no other instance of this data centre is in reach.

    One that is would have told of its own proof. So where there is one the whole data centre is
    cut off from the store, and where there is none this instance is.
    """
    return len(membership.live_instances(state, now, state.me.data_centre)) == 1
