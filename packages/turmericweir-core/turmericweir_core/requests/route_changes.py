"""Let requests that are under way run again only if the settings in force by now allow it.

A request takes over from its route, when it arrives, whether it may run more than once. If later
settings forbid that, it does not run again. If they begin to allow it, it does not either, since
its caller sent it as one that runs once.
"""

from __future__ import annotations

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.requests.lifecycle import finish
from turmericweir_core.state import queue_state
from turmericweir_core.state.state import State


def on_settings(state: State, now: float) -> list[Effect]:
    """Forbid second runs by the routes in force; end the requests that wait for one."""
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        route = state.config.routes.find_route(req.host, req.path) if req.repeatable else None
        if route is None or route.repeatable:
            continue
        req.repeatable = False
        fields = {"request_id": req.request_id, "route": route.name, "ran": req.may_have_run}
        effects += [Count("retry.forbidden"), Log("repeat_forbidden", fields)]
        if req.attempt is None and req.may_have_run:
            queue_state.remove(state.queues, req)
            effects += finish(state, now, req, Outcome.UNKNOWN, Reason.EVIDENCE_LOST)
    return effects
