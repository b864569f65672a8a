"""Refuse requests that this instance cannot serve, and return when the caller should retry.

`lifecycle` calls this before any other check. These refusals do not depend on the load or on the
request: the instance has no settings yet, has no fresh proof of its keys, has got no list of
servers since its start, or is stopping. A refused caller retries over a new connection, which the
balancer opens to another instance. The retry delay gives the other instances time to become ready;
it is zero if they already are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.membership import membership, server_list
from turmericweir_core.placement import stop_cutoff
from turmericweir_core.store import document

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Another instance can serve the caller now. Prevents callers from missing short deadlines.
_RETRY_AT_ONCE_S: Final = 0.0
# All instances may have started together; the settings arrive shortly after the start.
_RETRY_STARTING_S: Final = 0.2
# The whole data centre has no fresh proof, which takes longer to recover.
_RETRY_CUT_OFF_S: Final = 1.0


def reason_to_refuse(state: State, now: float, req: Request) -> Reason | None:
    """Return why this instance cannot serve a request, or None if it can."""
    if not state.has_settings:
        return Reason.NO_SETTINGS
    if not document.can_serve_key(state, now, req):
        return Reason.KEY_UNPROVEN
    if server_list.is_list_missing(state, now):
        # Nothing tells when a server will be known.
        return Reason.NO_SERVER
    if _can_outlast_process(state, now, req):
        return Reason.STOPPING
    return None


def _can_outlast_process(state: State, now: float, req: Request) -> bool:
    """Return whether an answer might not end before this process does.

    Until the load balancer has reacted, requests are served that are expected to end in time.
    Connections that were idle when the stop began are used until an answer closes them: then
    requests that certainly end in time are served; refusing them would delay their callers.
    """
    stopping_since = state.stopping_since
    if stopping_since is None:
        return False
    cutoff = stop_cutoff.stop_cutoff(state, now)
    if now - stopping_since <= state.options.stop_grace_s:
        return not stop_cutoff.can_pass_on(state, now, cutoff, req)
    # Without a limit the answer may take any time, and the stop with it.
    return cutoff is None or not stop_cutoff.ends_in_time(cutoff, req)


def refusal_retry_after_s(state: State, now: float, reason: Reason) -> float:
    """Return the retry delay of a refused caller, in seconds."""
    match reason:
        case Reason.STOPPING:
            return _RETRY_AT_ONCE_S
        case Reason.KEY_UNPROVEN if _is_alone(state, now):
            return _RETRY_AT_ONCE_S
        case Reason.KEY_UNPROVEN:
            return _RETRY_CUT_OFF_S
        case _:
            return _RETRY_STARTING_S


def _is_alone(state: State, now: float) -> bool:
    """Return whether no other instance of this data centre is reachable.

    A reachable instance with a proof would have announced it. If one is reachable, the whole data
    centre is cut off from the store; otherwise only this instance is.
    """
    return len(membership.live_instances(state, now, state.me.data_centre)) == 1
